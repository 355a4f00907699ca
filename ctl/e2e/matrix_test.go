package e2e

import (
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"testing"
)

// Steps and faults of the matrix in docs/FAULTS.md, which must have a row for each
// step and a column for each fault.
var (
	matrixSteps = []string{
		"announce", "first grant", "lease renewal", "takeover", "planned move",
		"drain and stop", "accept", "route", "hop", "gate", "run", "answer",
		"retry", "resolve", "publish", "spread", "start",
	}
	matrixFaults = []string{
		"killed", "paused", "cut one way", "cut both ways", "upstream frozen",
		"store down", "store slow", "store answer lost", "silent connection",
		"late, twice, reordered", "two operators", "outage in the middle", "pairs",
	}
)

const matrixPage = "../../docs/FAULTS.md"

var testReference = regexp.MustCompile("`([a-z0-9]+)\\.((?:Test|Fuzz)[A-Za-z0-9_]+)`")

// Guards against a fault matrix that names tests that do not exist or that omits a
// step or a fault.
func TestFaultMatrixNamesTestsThatExist(t *testing.T) {
	text, err := os.ReadFile(matrixPage)
	if err != nil {
		t.Fatal(err)
	}
	tests := declaredTests(t, "../..")
	for _, m := range testReference.FindAllStringSubmatch(string(text), -1) {
		if !tests[m[1]+"."+m[2]] {
			t.Errorf("%s.%s does not exist", m[1], m[2])
		}
	}
	rows := matrixRows(string(text))
	checkMatrix(t, rows)
}

// declaredTests returns the names of all tests and fuzz tests below root, in the
// form package.Test.
func declaredTests(t *testing.T, root string) map[string]bool {
	t.Helper()
	tests := map[string]bool{}
	err := filepath.WalkDir(root, func(path string, d fs.DirEntry, err error) error {
		if err != nil || d.IsDir() || !strings.HasSuffix(path, "_test.go") {
			return err
		}
		file, err := parser.ParseFile(token.NewFileSet(), path, nil, parser.SkipObjectResolution)
		if err != nil {
			return err
		}
		pkg := strings.TrimSuffix(file.Name.Name, "_test")
		for _, decl := range file.Decls {
			f, ok := decl.(*ast.FuncDecl)
			if ok && f.Recv == nil && (strings.HasPrefix(f.Name.Name, "Test") || strings.HasPrefix(f.Name.Name, "Fuzz")) {
				tests[pkg+"."+f.Name.Name] = true
			}
		}
		return nil
	})
	if err != nil {
		t.Fatal(err)
	}
	return tests
}

// matrixRows returns the cells of the matrix by step and fault. A step may have
// rows in several tables.
func matrixRows(text string) map[string]map[string]string {
	rows := map[string]map[string]string{}
	var faults []string
	for line := range strings.Lines(text) {
		cells := strings.Split(strings.Trim(strings.TrimSpace(line), "|"), "|")
		for i := range cells {
			cells[i] = strings.TrimSpace(cells[i])
		}
		switch {
		case cells[0] == "step":
			faults = cells[1:]
		case slices.Contains(matrixSteps, cells[0]) && len(cells) == len(faults)+1:
			if rows[cells[0]] == nil {
				rows[cells[0]] = map[string]string{}
			}
			for i, fault := range faults {
				rows[cells[0]][fault] = cells[i+1]
			}
		}
	}
	return rows
}

// checkMatrix checks that each cell names a test or is "red", "not covered" or "-".
func checkMatrix(t *testing.T, rows map[string]map[string]string) {
	t.Helper()
	for _, step := range matrixSteps {
		for _, fault := range matrixFaults {
			cell, ok := rows[step][fault]
			named := testReference.MatchString(cell)
			if !ok || !named && cell != "red" && cell != "not covered" && cell != "-" {
				t.Errorf("step %q, fault %q: cell %q; want a test, red, not covered or -", step, fault, cell)
			}
		}
	}
}
