package settingsdoc

import (
	"go/ast"
	"go/parser"
	"go/token"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"testing"

	"github.com/shoenig/test/must"
)

const root = "../.."

// Guards against a settings page that was not generated again after a change of the
// settings.
func TestSettingsPageIsCurrent(t *testing.T) {
	page, err := os.ReadFile(filepath.Join(root, "docs/operate/settings.md"))
	must.NoError(t, err)
	must.Eq(t, Page(), string(page), must.Sprint("run go run ./internal/settingsdoc/write > docs/operate/settings.md"))
}

// Guards against refusal reasons and metrics that the operators' page does not
// describe.
func TestReasonsAndMetricsAreDescribed(t *testing.T) {
	page, err := os.ReadFile(filepath.Join(root, "docs/operate/reasons-and-metrics.md"))
	must.NoError(t, err)
	names := append(reasons(t), metricNames(t)...)
	must.Greater(t, 40, len(names))
	for _, name := range names {
		must.StrContains(t, string(page), "| `"+name+"` |")
	}
}

// reasons returns the values of all constants in refusal.go whose names start with
// Reason.
func reasons(t *testing.T) []string {
	out := literals(t, "core/domain/refusal.go", func(n ast.Node) []ast.Expr {
		if v, ok := n.(*ast.ValueSpec); ok && strings.HasPrefix(v.Names[0].Name, "Reason") {
			return v.Values
		}
		return nil
	})
	must.SliceNotEmpty(t, out)
	return out
}

// metricNames returns all string literals in adapter/metrics that are names of
// metrics.
func metricNames(t *testing.T) []string {
	var out []string
	files, err := filepath.Glob(filepath.Join(root, "adapter/metrics/*.go"))
	must.NoError(t, err)
	for _, file := range files {
		relative, err := filepath.Rel(root, file)
		must.NoError(t, err)
		for _, literal := range literals(t, relative, func(n ast.Node) []ast.Expr {
			if e, ok := n.(*ast.BasicLit); ok {
				return []ast.Expr{e}
			}
			return nil
		}) {
			if strings.HasPrefix(literal, "mangoknot_") {
				out = append(out, literal)
			}
		}
	}
	must.SliceNotEmpty(t, out)
	return out
}

// literals calls pick for each node of a file. It returns the values of the string
// literals among the expressions that pick returned.
func literals(t *testing.T, path string, pick func(ast.Node) []ast.Expr) []string {
	file, err := parser.ParseFile(token.NewFileSet(), filepath.Join(root, path), nil, 0)
	must.NoError(t, err)
	var out []string
	ast.Inspect(file, func(n ast.Node) bool {
		for _, e := range pick(n) {
			if literal, ok := e.(*ast.BasicLit); ok && literal.Kind == token.STRING {
				value, err := strconv.Unquote(literal.Value)
				must.NoError(t, err)
				out = append(out, value)
			}
		}
		return true
	})
	return out
}
