package catalogue

import (
	"fmt"
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
)

// metricPrefix is the prefix of the names of all metrics of a router.
const metricPrefix = "burdock_"

// metricScopes maps each package that creates instruments to the scope that is passed
// in its options. Package node uses the root scope.
var metricScopes = map[string]string{
	"connguard": "entry",
	"forward":   "caller",
	"gate":      "gate",
	"metrics":   "store",
	"move":      "move",
	"node":      "",
	"ownership": "ownership",
	"peer":      "peer",
	"sidecar":   "entry",
}

// instruments are the methods whose first argument is the name of a metric.
// Manager.count of package ownership passes its argument on to Counter.
var instruments = map[string]bool{"Counter": true, "Gauge": true, "Histogram": true, "Timer": true, "count": true}

// metricSource holds the names of the metrics and scopes in the source.
type metricSource struct {
	names  []string
	scopes []string
}

// Guards against a metric that is not described on the page, and against a described
// metric that does not exist, on which an alert would never fire.
func TestMetricsPage(t *testing.T) {
	page, err := os.ReadFile(docs + "METRICS.md")
	if err != nil {
		t.Fatal(err)
	}
	var listed []string
	for _, m := range regexp.MustCompile("(?m)^\\| `("+metricPrefix+"[a-z_]+)`").FindAllStringSubmatch(string(page), -1) {
		listed = append(listed, m[1])
	}
	slices.Sort(listed)
	source := readMetricSource(t)
	if diff := cmp.Diff(source.names, listed); diff != "" {
		t.Errorf("docs/METRICS.md (+) differs from the code (-):\n%s", diff)
	}
	if len(source.names) < 10 {
		t.Errorf("only %d metrics were found in the source", len(source.names))
	}
}

// Guards against a renamed or added scope, which would change the names of metrics.
func TestMetricScopes(t *testing.T) {
	var want []string
	for _, scope := range metricScopes {
		if scope != "" {
			want = append(want, scope)
		}
	}
	slices.Sort(want)
	want = slices.Compact(want) // connguard has the scope of the process that uses it
	if diff := cmp.Diff(want, readMetricSource(t).scopes); diff != "" {
		t.Errorf("the scopes in the source (+) differ from those of this test (-):\n%s", diff)
	}
}

// readMetricSource collects the names of all metrics and scopes in the router's source.
func readMetricSource(t *testing.T) metricSource {
	t.Helper()
	var found metricSource
	if err := eachSource(found.add); err != nil {
		t.Fatal(err)
	}
	for _, list := range []*[]string{&found.names, &found.scopes} {
		slices.Sort(*list)
		*list = slices.Compact(*list)
	}
	return found
}

// eachSource calls f for each source file of the router, except tests.
func eachSource(f func(*ast.File) error) error {
	return filepath.WalkDir("../..", func(path string, d fs.DirEntry, err error) error {
		if err != nil || d.IsDir() || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
			return err
		}
		file, err := parser.ParseFile(token.NewFileSet(), path, nil, 0)
		if err != nil {
			return err
		}
		return f(file)
	})
}

// add collects the names of the metrics and scopes in one file.
func (s *metricSource) add(file *ast.File) error {
	var failed error
	fail := func(format string, args ...any) {
		if failed == nil {
			failed = fmt.Errorf("package "+file.Name.Name+": "+format, args...)
		}
	}
	forwards := map[ast.Node]bool{}
	ast.Inspect(file, func(n ast.Node) bool {
		if f, ok := n.(*ast.FuncDecl); ok && f.Name.Name == "count" && file.Name.Name == "ownership" {
			forwards[f.Body] = true
		}
		if forwards[n] {
			return false
		}
		call, ok := n.(*ast.CallExpr)
		if !ok || len(call.Args) == 0 {
			return true
		}
		method, ok := call.Fun.(*ast.SelectorExpr)
		if !ok {
			return true
		}
		name, isText := literal(call.Args[0])
		switch {
		case method.Sel.Name == "SubScope" && isText:
			s.scopes = append(s.scopes, name)
		case method.Sel.Name == "SubScope":
			fail("the name of a scope is not a literal")
		case !instruments[method.Sel.Name]:
		case method.Sel.Name == "count" && file.Name.Name != "ownership":
		case !isText:
			fail("the name of a metric is not a literal")
		default:
			scope, known := metricScopes[file.Name.Name]
			if !known {
				fail("creates the metric %q but has no scope in this test", name)
			}
			s.names = append(s.names, fullName(scope, name))
		}
		return true
	})
	return failed
}

// fullName returns the exported name of a metric.
func fullName(scope, name string) string {
	if scope == "" {
		return metricPrefix + name
	}
	return metricPrefix + scope + "_" + name
}

// literal returns the value of a string literal, or false for other expressions.
func literal(e ast.Expr) (string, bool) {
	l, ok := e.(*ast.BasicLit)
	if !ok || l.Kind != token.STRING {
		return "", false
	}
	text, err := strconv.Unquote(l.Value)
	return text, err == nil
}
