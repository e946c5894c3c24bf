// Package core_test checks what the decision packages depend on.
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

// forbidden are imports that would bring I/O, locks, logs or global state into
// the decisions: they could then no longer run many times over in one process
// under a simulated clock.
var forbidden = []string{"net", "net/http", "os", "sync", "sync/atomic", "io", "log", "context", "math/rand"}

// TestImports also refuses calls that read the wall clock or wait.
func TestImports(t *testing.T) {
	for _, path := range sources(t, ".") {
		file, err := parser.ParseFile(token.NewFileSet(), path, nil, 0)
		if err != nil {
			t.Fatal(err)
		}
		checkImports(t, path, file)
		ast.Inspect(file, func(n ast.Node) bool {
			checkCall(t, path, n)
			return true
		})
	}
}

func checkImports(t *testing.T, path string, file *ast.File) {
	t.Helper()
	for _, imp := range file.Imports {
		name, err := strconv.Unquote(imp.Path.Value)
		if err != nil {
			t.Fatal(err)
		}
		for _, bad := range forbidden {
			if name == bad {
				t.Errorf("%s imports %s", path, name)
			}
		}
		if strings.Contains(name, "/internal/") && !strings.Contains(name, "/internal/core/") {
			t.Errorf("%s imports %s", path, name)
		}
	}
}

// Symptom: a report shows a burn that no request explains; budgets and suspensions end
// early or never. Sequence: the time of day jumps on a machine. Cause: a span was taken
// from numbers of the wall clock. Differences of two time.Time go by the steady clock, which
// can't jump, as long as nobody turns one of them into a number first.
func TestSpansGoByTheSteadyClock(t *testing.T) {
	for _, root := range []string{".", "../app/gateway", "../adapter/upstream"} {
		for _, path := range sources(t, root) {
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
					t.Errorf("%s turns a time into a number of the wall clock by %s", path, sel.Sel.Name)
				}
				return true
			})
		}
	}
}

// sources returns the Go files below a folder, without tests.
func sources(t *testing.T, root string) []string {
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

func checkCall(t *testing.T, path string, n ast.Node) {
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
		t.Errorf("%s uses time.%s", path, sel.Sel.Name)
	}
}
