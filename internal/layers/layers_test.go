package layers

import (
	"go/parser"
	"go/token"
	"io/fs"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
)

const module = "celerypin.example/celerypin/"

// TestImportsFollowLayers fails when a package imports one of a higher layer, or
// when state or coordination imports a package that IsImpure names. Tests of all
// layers may also import the support layer, for golden files.
func TestImportsFollowLayers(t *testing.T) {
	root := filepath.Join("..", "..")
	checked := 0
	err := filepath.WalkDir(root, func(path string, d fs.DirEntry, err error) error {
		if err != nil || d.IsDir() || !strings.HasSuffix(path, ".go") {
			return err
		}
		rel, err := filepath.Rel(root, path)
		if err != nil {
			return err
		}
		for _, imported := range importsOf(t, path) {
			if violation := violationOf(filepath.ToSlash(filepath.Dir(rel)), imported, strings.HasSuffix(rel, "_test.go")); violation != "" {
				t.Errorf("%s: %s", rel, violation)
			}
		}
		checked++
		return nil
	})
	if err != nil {
		t.Fatal(err)
	}
	if checked < 20 {
		t.Fatalf("got %d files checked, want the whole tree", checked)
	}
}

// TestViolationsAreDetected checks violationOf, so that TestImportsFollowLayers does
// not pass for want of a working check.
func TestViolationsAreDetected(t *testing.T) {
	cases := []struct {
		name, dir, imported string
		want                bool
	}{
		{"state imports coordination", "pkg/state/id", module + "pkg/coordination/budget", true},
		{"coordination imports protocol", "pkg/coordination/agent", module + "internal/protocol/host", true},
		{"protocol imports transport", "internal/protocol/host", module + "internal/transport/host", true},
		{"transport imports daemon", "internal/transport/host", module + "internal/daemon", true},
		{"coordination imports an encoding", "pkg/coordination/agent", "encoding/json", true},
		{"coordination imports a socket", "pkg/coordination/agent", "net", true},
		{"folder without a layer", "internal/misc", module + "pkg/state/id", true},
		{"transport imports protocol", "internal/transport/host", module + "internal/protocol/host", false},
		{"coordination imports state", "pkg/coordination/agent", module + "pkg/state/id", false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			if got := violationOf(c.dir, c.imported, false) != ""; got != c.want {
				t.Errorf("got violation %v, want %v", got, c.want)
			}
		})
	}
}

// violationOf describes how an import breaks the rules of the layers. It returns an
// empty string if the import is allowed.
func violationOf(dir, imported string, inTest bool) string {
	from := Of(dir + "/")
	target, inModule := strings.CutPrefix(imported, module)
	switch {
	case inModule && inTest && Of(target+"/") == Support:
	case inModule && !MayImport(from, Of(target+"/")):
		return "must not import " + target
	case !inModule && !inTest && from <= Coordination && IsImpure(imported):
		return "state and coordination must not import " + imported
	}
	return ""
}

func importsOf(t *testing.T, path string) []string {
	t.Helper()
	file, err := parser.ParseFile(token.NewFileSet(), path, nil, parser.ImportsOnly)
	if err != nil {
		t.Fatal(err)
	}
	var out []string
	for _, spec := range file.Imports {
		imported, err := strconv.Unquote(spec.Path.Value)
		if err != nil {
			t.Fatal(err)
		}
		out = append(out, imported)
	}
	return out
}
