// Package core_test checks the dependencies of the decision packages.
package core_test

import (
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
)

// forbiddenImports lists imports that would add I/O, locks, logging or global state to the
// decision packages. With them, many instances could no longer run in one process under a
// simulated clock.
var forbiddenImports = []string{"net", "net/http", "os", "sync", "sync/atomic", "io", "log", "context", "math/rand"}

// TestImports checks the imports of the decision packages and refuses calls that read the wall
// clock or wait.
func TestImports(t *testing.T) {
	for _, path := range sourceFiles(t, ".") {
		file, err := parser.ParseFile(token.NewFileSet(), path, nil, 0)
		if err != nil {
			t.Fatal(err)
		}
		reportForbiddenImports(t, path, file)
		ast.Inspect(file, func(n ast.Node) bool {
			reportClockCalls(t, path, n)
			return true
		})
	}
}

func reportForbiddenImports(t *testing.T, path string, file *ast.File) {
	t.Helper()
	for _, spec := range file.Imports {
		name, err := strconv.Unquote(spec.Path.Value)
		if err != nil {
			t.Fatal(err)
		}
		for _, forbidden := range forbiddenImports {
			if name == forbidden {
				t.Errorf("%s imports %s, which core packages must not import", path, name)
			}
		}
		if strings.Contains(name, "/internal/") && !strings.Contains(name, "/internal/core/") {
			t.Errorf("%s imports %s, which is not a core package", path, name)
		}
	}
}

// TestDurationsUseMonotonicClock guards against wrong burn rates and against retry budgets and
// suspensions that end early or never, after the wall clock of a VM jumps. The difference of two
// time.Time values uses the monotonic clock, which can't jump, unless one of them was converted
// to a number first.
func TestDurationsUseMonotonicClock(t *testing.T) {
	for _, root := range []string{".", "../app/gateway", "../adapter/upstream"} {
		for _, path := range sourceFiles(t, root) {
			file, err := parser.ParseFile(token.NewFileSet(), path, nil, 0)
			if err != nil {
				t.Fatal(err)
			}
			ast.Inspect(file, func(n ast.Node) bool {
				call, ok := n.(*ast.CallExpr)
				if !ok || len(call.Args) > 0 {
					return true
				}
				sel, ok := call.Fun.(*ast.SelectorExpr)
				if ok && strings.HasPrefix(sel.Sel.Name, "Unix") {
					t.Errorf("%s converts a time to a wall clock number with %s", path, sel.Sel.Name)
				}
				return true
			})
		}
	}
}

// sourceFiles returns the Go files in a folder and its subfolders, without tests.
func sourceFiles(t *testing.T, root string) []string {
	t.Helper()
	var out []string
	err := filepath.WalkDir(root, func(path string, d fs.DirEntry, err error) error {
		if err == nil && !d.IsDir() && strings.HasSuffix(path, ".go") && !strings.HasSuffix(path, "_test.go") {
			out = append(out, path)
		}
		return err
	})
	if err != nil {
		t.Fatal(err)
	}
	return out
}

func reportClockCalls(t *testing.T, path string, n ast.Node) {
	t.Helper()
	sel, ok := n.(*ast.SelectorExpr)
	if !ok {
		return
	}
	pkg, ok := sel.X.(*ast.Ident)
	if !ok || pkg.Name != "time" {
		return
	}
	switch sel.Sel.Name {
	case "Now", "Sleep", "After", "AfterFunc", "NewTimer", "NewTicker", "Since", "Until":
		t.Errorf("%s uses time.%s; core packages take the time as an argument", path, sel.Sel.Name)
	}
}
