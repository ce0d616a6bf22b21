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
	forEachNode(t, func(path string, at token.Position, n ast.Node) {
		literal, ok := n.(*ast.CompositeLit)
		if ok && isClient(literal.Type) && !strings.HasPrefix(path, "../../pkg/bench/") {
			clients++
			require.True(t, setsField(literal, "RetryIfErr"), "%s", at)
		}
	})
	require.GreaterOrEqual(t, clients, 6, "the clients of today are found")
}

// Guards against MIXED: a client of fasthttp takes malformed heads for sound unless
// ConfigureClient makes it check them. The functions that use its default client can't.
func TestAllClientsCheckHeads(t *testing.T) {
	clients := 0
	forEachNode(t, func(_ string, at token.Position, n ast.Node) {
		switch n := n.(type) {
		case *ast.CompositeLit:
			if isClient(n.Type) {
				clients++
				require.True(t, setsField(n, "ConfigureClient"), "%s", at)
			}
		case *ast.CallExpr:
			name, ok := fasthttpName(n.Fun)
			require.False(t, ok && (strings.HasPrefix(name, "Get") || strings.HasPrefix(name, "Post") || strings.HasPrefix(name, "Do")), "%s", at)
		}
	})
	require.GreaterOrEqual(t, clients, 8, "the clients of today are found")
}

// forEachNode calls f for each node of the syntax trees of all programs.
func forEachNode(t *testing.T, f func(path string, at token.Position, n ast.Node)) {
	t.Helper()
	for _, root := range []string{"../../pkg", "../../platform", "../../cmd"} {
		err := filepath.WalkDir(root, func(path string, d fs.DirEntry, err error) error {
			if err != nil || d.IsDir() || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
				return err
			}
			files := token.NewFileSet()
			file, err := parser.ParseFile(files, path, nil, 0)
			if err != nil {
				return err
			}
			ast.Inspect(file, func(n ast.Node) bool {
				if n != nil {
					f(path, files.Position(n.Pos()), n)
				}
				return true
			})
			return nil
		})
		require.NoError(t, err)
	}
}

// isClient reports whether a type is one of fasthttp's clients.
func isClient(e ast.Expr) bool {
	name, ok := fasthttpName(e)
	return ok && strings.HasSuffix(name, "Client")
}

// fasthttpName returns the name of a type or function of package fasthttp.
func fasthttpName(e ast.Expr) (string, bool) {
	s, ok := e.(*ast.SelectorExpr)
	if !ok {
		return "", false
	}
	p, ok := s.X.(*ast.Ident)
	return s.Sel.Name, ok && p.Name == "fasthttp"
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
