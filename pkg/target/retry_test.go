package target_test

import (
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against TWICE: a client of fasthttp sends a request again by itself unless
// RetryIfErr forbids it. Each client of the programs sets it. The measuring tools of pkg/bench
// are no part of them.
func TestNoClientRepeatsRequestsByItself(t *testing.T) {
	clients := 0
	for _, root := range []string{"../../pkg", "../../platform", "../../cmd"} {
		err := filepath.WalkDir(root, func(path string, d fs.DirEntry, err error) error {
			if err != nil || d.IsDir() || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") || strings.HasPrefix(path, "../../pkg/bench/") {
				return err
			}
			files := token.NewFileSet()
			file, err := parser.ParseFile(files, path, nil, 0)
			if err != nil {
				return err
			}
			ast.Inspect(file, func(n ast.Node) bool {
				literal, ok := n.(*ast.CompositeLit)
				if !ok || !isClient(literal.Type) {
					return true
				}
				clients++
				require.True(t, setsField(literal, "RetryIfErr"), "%s", files.Position(literal.Pos()))
				return true
			})
			return nil
		})
		require.NoError(t, err)
	}
	require.GreaterOrEqual(t, clients, 6, "the clients of today are found")
}

// isClient reports whether a type is one of fasthttp's clients.
func isClient(e ast.Expr) bool {
	s, ok := e.(*ast.SelectorExpr)
	if !ok {
		return false
	}
	p, ok := s.X.(*ast.Ident)
	return ok && p.Name == "fasthttp" && strings.HasSuffix(s.Sel.Name, "Client")
}

func setsField(literal *ast.CompositeLit, name string) bool {
	for _, e := range literal.Elts {
		if kv, ok := e.(*ast.KeyValueExpr); ok {
			if key, ok := kv.Key.(*ast.Ident); ok && key.Name == name {
				return true
			}
		}
	}
	return false
}
