package dogwoodladder_test

import (
	"fmt"
	"go/ast"
	"go/parser"
	"go/token"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"github.com/matryer/is"
)

const promisesFile = "docs/PROMISES.md"

// minPromiseRows is the minimum number of rows of each table of the promises, by
// the letter of their numbers. Without it a fault or promise could be dropped
// unnoticed.
var minPromiseRows = map[string]int{"P": 14, "F": 22, "X": 24}

// caseFiles are the files that subtests are named after.
var caseFiles = map[string]string{
	"controller/TestFaults":        "controller/testdata/faults/%s.txt",
	"zone/TestSessions":            "zone/testdata/sessions/%s.golden",
	"cmd/dogwoodladder/TestScript": "cmd/dogwoodladder/testdata/script/%s.txtar",
}

var (
	codeSpan      = regexp.MustCompile("`([^`]+)`")
	testCommand   = regexp.MustCompile(`^go test \./(\S+) -run (\S+)$`)
	searchCommand = regexp.MustCompile(`^bash (spec/\S+\.sh) (\S+)$`)
	modelProperty = regexp.MustCompile(`^(spec/\S+\.pml) (\w+)$`)
	demoCommand   = "go run ./cmd/dogwoodladder demo"
)

// promiseRow is one row of docs/PROMISES.md.
type promiseRow struct {
	number, claim, mechanism, proof, status, missing string
}

// TestPromises checks docs/PROMISES.md: each row has a mechanism, a proof and a
// status, and each proof names existing tests, case files and properties of the
// specification.
func TestPromises(t *testing.T) {
	rows := readPromises(t)
	counts := map[string]int{}
	for _, row := range rows {
		counts[row.number[:1]]++
		if want := fmt.Sprint(row.number[:1], counts[row.number[:1]]); row.number != want {
			t.Errorf("row %s: want number %s", row.number, want)
		}
		t.Run(row.number, row.check)
	}
	for letter, least := range minPromiseRows {
		if counts[letter] < least {
			t.Errorf("%d rows %s, want at least %d", counts[letter], letter, least)
		}
	}
}

func (row promiseRow) check(t *testing.T) {
	is := is.New(t)
	is.True(row.claim != "")     // says what holds
	is.True(row.mechanism != "") // has a mechanism
	is.True(row.proof != "")     // has a proof, or says none
	proofs := codeSpan.FindAllStringSubmatch(row.proof, -1)
	switch row.status {
	case "proved":
		is.True(len(proofs) > 0)
	case "partly":
		is.True(len(proofs) > 0)
		is.True(row.missing != "") // says what is missing
	case "not proved":
		is.True(row.missing != "")
	default:
		t.Errorf("status %q, want proved, partly or not proved", row.status)
	}
	for _, p := range proofs {
		if err := findProof(p[1]); err != nil {
			t.Error(err)
		}
	}
}

// findProof returns an error unless the test, case file, property or command
// that a proof names exists.
func findProof(text string) error {
	if m := testCommand.FindStringSubmatch(text); m != nil {
		return findTest(m[1], m[2])
	}
	if m := searchCommand.FindStringSubmatch(text); m != nil {
		return findLine(m[1], `^\s*`+regexp.QuoteMeta(m[2])+`\|`)
	}
	if m := modelProperty.FindStringSubmatch(text); m != nil {
		return findLine(m[1], `^(#define|ltl) `+m[2]+`\b`)
	}
	if text == demoCommand {
		return findFile("cmd/dogwoodladder/demo.go")
	}
	return fmt.Errorf("%q is no proof that this test knows", text)
}

// findTest looks for a test function, and for the case file of a subtest.
func findTest(dir, name string) error {
	test, sub, isSub := strings.Cut(name, "/")
	found, err := hasFunc(dir, test)
	if err != nil {
		return err
	}
	if !found {
		return fmt.Errorf("no %s in %s", test, dir)
	}
	if !isSub {
		return nil
	}
	pattern, known := caseFiles[dir+"/"+test]
	if !known {
		return fmt.Errorf("the cases of %s in %s aren't files", test, dir)
	}
	return findFile(fmt.Sprintf(pattern, sub))
}

// hasFunc reports whether the test files of a package declare a function.
func hasFunc(dir, name string) (bool, error) {
	files, err := filepath.Glob(filepath.Join(dir, "*_test.go"))
	if err != nil {
		return false, err
	}
	for _, file := range files {
		parsed, err := parser.ParseFile(token.NewFileSet(), file, nil, parser.SkipObjectResolution)
		if err != nil {
			return false, err
		}
		for _, d := range parsed.Decls {
			if f, ok := d.(*ast.FuncDecl); ok && f.Recv == nil && f.Name.Name == name {
				return true, nil
			}
		}
	}
	return false, nil
}

func findFile(name string) error {
	_, err := os.Stat(name)
	return err
}

// findLine returns an error unless a line of a file matches.
func findLine(file, pattern string) error {
	data, err := os.ReadFile(file)
	if err != nil {
		return err
	}
	if !regexp.MustCompile("(?m)" + pattern).Match(data) {
		return fmt.Errorf("no line %s in %s", pattern, file)
	}
	return nil
}

// readPromises returns the numbered rows of all tables.
func readPromises(t *testing.T) []promiseRow {
	t.Helper()
	data, err := os.ReadFile(promisesFile)
	is.New(t).NoErr(err)
	numbered := regexp.MustCompile(`^\| [A-Z]\d+ \|`)
	var rows []promiseRow
	for line := range strings.Lines(string(data)) {
		if !numbered.MatchString(line) {
			continue
		}
		cells := strings.Split(strings.Trim(strings.TrimSpace(line), "|"), "|")
		if len(cells) != 6 {
			t.Fatalf("%d cells, want 6: %s", len(cells), line)
		}
		for i := range cells {
			cells[i] = strings.TrimSpace(cells[i])
		}
		rows = append(rows, promiseRow{cells[0], cells[1], cells[2], cells[3], cells[4], cells[5]})
	}
	return rows
}
