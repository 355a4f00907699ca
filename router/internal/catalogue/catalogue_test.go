package catalogue

import (
	"flag"
	"go/ast"
	"go/parser"
	"go/token"
	"os"
	"strconv"
	"testing"

	"github.com/google/go-cmp/cmp"

	"burdockglade.dev/router/errkind"
	"burdockglade.dev/router/event"

	// Packages that define events.
	_ "burdockglade.dev/router/admin"
	_ "burdockglade.dev/router/forward"
	_ "burdockglade.dev/router/gate"
	_ "burdockglade.dev/router/member"
	_ "burdockglade.dev/router/move"
	_ "burdockglade.dev/router/node"
	_ "burdockglade.dev/router/note"
	_ "burdockglade.dev/router/ownership"
	_ "burdockglade.dev/router/peer"
	_ "burdockglade.dev/router/sidecar"
	_ "burdockglade.dev/router/upstream"
)

var update = flag.Bool("update", false, "write the pages in docs")

const docs = "../../../docs/"

func comparePage(t *testing.T, name string, want []byte) {
	t.Helper()
	if *update {
		if err := os.WriteFile(docs+name, want, 0o644); err != nil {
			t.Fatal(err)
		}
	}
	got, err := os.ReadFile(docs + name)
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(string(want), string(got)); diff != "" {
		t.Errorf("%s differs from the page generated from the code; run with -update:\n%s", name, diff)
	}
}

// Guards against an event that operators cannot look up.
func TestEventsPage(t *testing.T) {
	comparePage(t, "EVENTS.md", Events(event.All()))
}

// Guards against a package that defines events and is not imported here, whose events
// would be missing from the page.
func TestAllEventsAreImported(t *testing.T) {
	defined := 0
	err := eachSource(func(file *ast.File) error {
		ast.Inspect(file, func(n ast.Node) bool {
			call, ok := n.(*ast.CallExpr)
			if !ok {
				return true
			}
			if f, ok := call.Fun.(*ast.SelectorExpr); ok && f.Sel.Name == "Define" {
				defined++
			}
			return true
		})
		return nil
	})
	if err != nil {
		t.Fatal(err)
	}
	if known := len(event.All()); defined != known || known == 0 {
		t.Errorf("the source defines %d events, the imported packages %d", defined, known)
	}
}

// Guards against an event without name, cause or remedy, or with a number outside the
// assigned range.
func TestEventsAreDescribed(t *testing.T) {
	for _, e := range event.All() {
		if e.Name == "" || e.Cause == "" || e.Remedy == "" {
			t.Errorf("event %d lacks name, cause or remedy", e.Number)
		}
		if e.Number < 1000 || e.Number > 1999 {
			t.Errorf("event %d is outside 1000 to 1999", e.Number)
		}
	}
}

// Guards against an outdated page, from which callers would implement wrong retries.
func TestErrorsPage(t *testing.T) {
	comparePage(t, "ERRORS.md", Errors())
}

// Guards against a kind without a response, which would be reported as an internal
// error.
func TestErrorTableIsComplete(t *testing.T) {
	inTable := map[errkind.Kind]bool{}
	for _, k := range errkind.Kinds() {
		inTable[k] = true
	}
	declared := declaredKinds(t)
	for _, k := range declared {
		if !inTable[k] {
			t.Errorf("kind %s has no response", k)
		}
		if remedies[k] == "" {
			t.Errorf("kind %s has no remedy", k)
		}
	}
	if len(declared) != len(inTable) || len(declared) != len(remedies) {
		t.Errorf("%d kinds, %d responses, %d remedies", len(declared), len(inTable), len(remedies))
	}
}

// declaredKinds returns the constants of type Kind in the source.
func declaredKinds(t *testing.T) []errkind.Kind {
	t.Helper()
	file, err := parser.ParseFile(token.NewFileSet(), "../../errkind/errkind.go", nil, 0)
	if err != nil {
		t.Fatal(err)
	}
	var kinds []errkind.Kind
	ast.Inspect(file, func(n ast.Node) bool {
		spec, ok := n.(*ast.ValueSpec)
		if !ok {
			return true
		}
		if name, ok := spec.Type.(*ast.Ident); !ok || name.Name != "Kind" {
			return true
		}
		for _, value := range spec.Values {
			text, err := strconv.Unquote(value.(*ast.BasicLit).Value)
			if err != nil {
				t.Fatal(err)
			}
			kinds = append(kinds, errkind.Kind(text))
		}
		return true
	})
	if len(kinds) == 0 {
		t.Fatal("no kinds found")
	}
	return kinds
}

// Guards against retries of a request that may have run, which could run it twice.
func TestOnlyKindsNotRunAreRetryable(t *testing.T) {
	for _, k := range errkind.Kinds() {
		a := errkind.ResponseOf(k)
		if a.Retryable && a.Outcome != errkind.NotRun {
			t.Errorf("%s is retryable with outcome %s", k, a.Outcome)
		}
		if a.Status < 400 || a.Title == "" || (a.Outcome != errkind.NotRun && a.Outcome != errkind.Unknown) {
			t.Errorf("%s has the response %+v", k, a)
		}
	}
}
