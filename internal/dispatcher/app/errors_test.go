package app

import (
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// The on-call page lists exactly the error types of the packages app, config, script and fleet, which operators see when
// they start, reload and watch a dispatcher.
func TestOnCallListsTheErrors(t *testing.T) {
	inCode := map[string]bool{}
	for _, dir := range []string{"app", "config", "script", "fleet"} {
		require.NoError(t, filepath.WalkDir(filepath.Join("..", dir), func(path string, d fs.DirEntry, err error) error {
			if err != nil || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
				return err
			}
			f, err := parser.ParseFile(token.NewFileSet(), path, nil, 0)
			if err != nil {
				return err
			}
			for _, name := range errorTypes(f) {
				inCode[f.Name.Name+"."+name] = true
			}
			return nil
		}))
	}
	require.NotEmpty(t, inCode)
	page, err := os.ReadFile("../../../docs/oncall.md")
	require.NoError(t, err)
	_, section, found := strings.Cut(string(page), "## Errors by type")
	require.True(t, found)
	listed := map[string]bool{}
	for _, m := range regexp.MustCompile("(?m)^\\| `([a-z]+\\.[A-Z][A-Za-z]+)`").FindAllStringSubmatch(section, -1) {
		listed[m[1]] = true
	}
	assert.Equal(t, inCode, listed)
}

// errorTypes returns the names of the types in a file that have a method Error.
func errorTypes(f *ast.File) (names []string) {
	for _, decl := range f.Decls {
		fn, ok := decl.(*ast.FuncDecl)
		if !ok || fn.Recv == nil || fn.Name.Name != "Error" {
			continue
		}
		receiver := fn.Recv.List[0].Type
		if star, ok := receiver.(*ast.StarExpr); ok {
			receiver = star.X
		}
		names = append(names, receiver.(*ast.Ident).Name)
	}
	return names
}
