package dogwoodladder

import (
	"encoding/json"
	"errors"
	"io"
	"os"
	"os/exec"
	"slices"
	"strings"
	"testing"

	"github.com/matryer/is"
)

const module = "github.com/dogwoodladder/dogwoodladder"

// layers is the parsed content of testdata/layers.txt.
type layers struct {
	names     []string
	packages  map[string]int // pattern to layer
	forbidden map[int][]string
}

// TestImports checks the direction of imports against testdata/layers.txt.
// Imports of tests are exempt.
func TestImports(t *testing.T) {
	is := is.New(t)
	l := readLayers(t)
	packages := listImports(t)
	is.True(len(packages) > 0)
	for path, imports := range packages {
		layer, ok := l.layerOf(path)
		if !ok {
			t.Errorf("%s is in no layer", path)
			continue
		}
		for _, i := range imports {
			l.checkImport(t, path, layer, i)
		}
	}
}

func (l *layers) checkImport(t *testing.T, path string, layer int, imported string) {
	t.Helper()
	inner, local := strings.CutPrefix(imported, module)
	if !local {
		if slices.Contains(l.forbidden[layer], imported) {
			t.Errorf("%s, one of the %s, imports %s", path, l.names[layer], imported)
		}
		return
	}
	to, ok := l.layerOf(strings.TrimPrefix(inner, "/"))
	if ok && to > layer {
		t.Errorf("%s, one of the %s, imports %s, one of the %s", path, l.names[layer], strings.TrimPrefix(inner, "/"), l.names[to])
	}
}

// layerOf returns the layer of a package, named by its path in the module.
func (l *layers) layerOf(path string) (int, bool) {
	if path == "" {
		path = "."
	}
	if layer, ok := l.packages[path]; ok {
		return layer, true
	}
	for pattern, layer := range l.packages {
		under, ok := strings.CutSuffix(pattern, "/...")
		if ok && (path == under || strings.HasPrefix(path, under+"/")) {
			return layer, true
		}
	}
	return 0, false
}

func readLayers(t *testing.T) *layers {
	t.Helper()
	data, err := os.ReadFile("testdata/layers.txt")
	is.New(t).NoErr(err)
	l := &layers{packages: make(map[string]int), forbidden: make(map[int][]string)}
	for line := range strings.Lines(string(data)) {
		head, rest, found := strings.Cut(line, ":")
		if strings.HasPrefix(line, "#") || !found {
			continue
		}
		word, name, _ := strings.Cut(head, " ")
		switch word {
		case "layer":
			l.names = append(l.names, name)
			for _, p := range strings.Fields(rest) {
				l.packages[p] = len(l.names) - 1
			}
		case "pure":
			l.forbidden[slices.Index(l.names, name)] = strings.Fields(rest)
		default:
			t.Fatalf("layers.txt: %q", line)
		}
	}
	return l
}

// listImports returns the imports of every package of the module, by its path
// within the module.
func listImports(t *testing.T) map[string][]string {
	t.Helper()
	is := is.New(t)
	out, err := exec.Command("go", "list", "-json=ImportPath,Imports", "./...").Output()
	is.NoErr(err)
	packages := make(map[string][]string)
	decoder := json.NewDecoder(strings.NewReader(string(out)))
	for {
		var p struct {
			ImportPath string
			Imports    []string
		}
		if err := decoder.Decode(&p); errors.Is(err, io.EOF) {
			return packages
		} else if err != nil {
			t.Fatal(err)
		}
		packages[strings.TrimPrefix(strings.TrimPrefix(p.ImportPath, module), "/")] = p.Imports
	}
}
