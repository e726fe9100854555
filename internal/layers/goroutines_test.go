package layers

import (
	"fmt"
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"path/filepath"
	"strings"
	"testing"

	"celerypin.example/celerypin/internal/golden"
)

// TestGoroutinesRunUnderAGuard lists the functions of an entry host on the platform that
// start a goroutine outside a guard, whose panic would end the process. Such a goroutine
// must touch no request and no message.
func TestGoroutinesRunUnderAGuard(t *testing.T) {
	var out strings.Builder
	for _, dir := range []string{"internal/edge", "internal/transport/http1", "internal/transport/host", "pkg/coordination", "platform"} {
		err := filepath.WalkDir(filepath.Join("..", "..", dir), func(path string, entry fs.DirEntry, err error) error {
			if err != nil {
				return err
			}
			if entry.IsDir() && (entry.Name() == "standin" || entry.Name() == "testdata") {
				return fs.SkipDir
			}
			if entry.IsDir() || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
				return nil
			}
			file, err := parser.ParseFile(token.NewFileSet(), path, nil, 0)
			if err != nil {
				return err
			}
			for _, d := range file.Decls {
				f, ok := d.(*ast.FuncDecl)
				if !ok || f.Body == nil {
					continue
				}
				if n := unguarded(f.Body); n > 0 {
					name, _ := filepath.Rel(filepath.Join("..", ".."), path)
					fmt.Fprintf(&out, "%s %s: %d\n", name, f.Name.Name, n)
				}
			}
			return nil
		})
		if err != nil {
			t.Fatal(err)
		}
	}
	golden.Check(t, "goroutines.golden", []byte(out.String()))
}

// unguarded counts the go statements of a function, and its calls of Go of a wait group or
// tomb, whose goroutine does not call Run or Supervise of a guard.
func unguarded(body *ast.BlockStmt) int {
	n := 0
	ast.Inspect(body, func(node ast.Node) bool {
		switch g := node.(type) {
		case *ast.GoStmt:
			if !callsGuard(g) {
				n++
			}
		case *ast.CallExpr:
			if s, ok := g.Fun.(*ast.SelectorExpr); ok && s.Sel.Name == "Go" && !callsGuard(g) {
				n++
			}
		}
		return true
	})
	return n
}

// callsGuard reports whether a node contains a call of Run or Supervise on a field or
// variable named guard.
func callsGuard(node ast.Node) bool {
	found := false
	ast.Inspect(node, func(n ast.Node) bool {
		s, ok := n.(*ast.SelectorExpr)
		if !ok || s.Sel.Name != "Run" && s.Sel.Name != "Supervise" {
			return true
		}
		switch x := s.X.(type) {
		case *ast.SelectorExpr:
			found = found || x.Sel.Name == "guard"
		case *ast.Ident:
			found = found || x.Name == "guard" || x.Name == "g"
		}
		return true
	})
	return found
}
