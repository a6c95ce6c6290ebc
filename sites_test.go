package dogwoodladder

import (
	"bufio"
	"io/fs"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// siteNamesAllowed are the folders that may contain names of users' sites: the
// adapter, the simulations of users' loads, and pages.
var siteNamesAllowed = []string{"platform", "bench", "demo", "docs", "journal", "deploy", ".git"}

// TestNoSiteIsNamed guards against thresholds and branches that are chosen by
// the name of a known site, which would serve unknown sites worse than the
// measured ones.
func TestNoSiteIsNamed(t *testing.T) {
	is := is.New(t)
	names := siteNames(t)
	is.True(len(names) > 0)
	files := 0
	err := filepath.WalkDir(".", func(path string, d fs.DirEntry, err error) error {
		switch {
		case err != nil:
			return err
		case d.IsDir() && slices.Contains(siteNamesAllowed, path):
			return filepath.SkipDir
		case d.IsDir() || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go"):
			return nil
		}
		files++
		data, err := os.ReadFile(path)
		if err != nil {
			return err
		}
		text := strings.ToLower(string(data))
		for _, name := range names {
			if strings.Contains(text, name) {
				t.Errorf("%s speaks of %s", path, name)
			}
		}
		return nil
	})
	is.NoErr(err)
	is.True(files > 100)
}

func siteNames(t *testing.T) []string {
	t.Helper()
	f, err := os.Open("testdata/sites.txt")
	if err != nil {
		t.Fatal(err)
	}
	defer f.Close()
	var names []string
	lines := bufio.NewScanner(f)
	for lines.Scan() {
		if line := lines.Text(); line != "" && !strings.HasPrefix(line, "#") {
			names = append(names, line)
		}
	}
	if err := lines.Err(); err != nil {
		t.Fatal(err)
	}
	return names
}
