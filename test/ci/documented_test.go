package ci

import (
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// Guards against exported items without a doc comment. staticcheck checks the form of doc comments, but doesn't report a
// missing one.
func TestExportedItemsAreDocumented(t *testing.T) {
	for _, folder := range []string{"cmd", "internal", "policy"} {
		err := filepath.WalkDir(filepath.Join("..", "..", folder), func(path string, entry fs.DirEntry, err error) error {
			if err != nil || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
				return err
			}
			positions := token.NewFileSet()
			file, err := parser.ParseFile(positions, path, nil, parser.ParseComments)
			if err != nil || ast.IsGenerated(file) {
				return err
			}
			for _, name := range undocumented(file) {
				assert.Fail(t, "an exported item has no doc comment", "%s: %s", positions.Position(name.Pos()), name.Name)
			}
			return nil
		})
		require.NoError(t, err)
	}
}

// undocumented returns the names of a file's exported items that have no comment. One comment on a group of constants,
// variables or types counts for all its items; methods of unexported types need none.
func undocumented(file *ast.File) []*ast.Ident {
	var names []*ast.Ident
	addIfUndocumented := func(name *ast.Ident, comments ...*ast.CommentGroup) {
		for _, comment := range comments {
			if comment != nil {
				return
			}
		}
		if name.IsExported() {
			names = append(names, name)
		}
	}
	for _, declared := range file.Decls {
		switch declared := declared.(type) {
		case *ast.FuncDecl:
			if !ofUnexportedType(declared) {
				addIfUndocumented(declared.Name, declared.Doc)
			}
		case *ast.GenDecl:
			for _, spec := range declared.Specs {
				switch spec := spec.(type) {
				case *ast.TypeSpec:
					addIfUndocumented(spec.Name, declared.Doc, spec.Doc, spec.Comment)
				case *ast.ValueSpec:
					addIfUndocumented(spec.Names[0], declared.Doc, spec.Doc, spec.Comment)
				}
			}
		}
	}
	return names
}

// ofUnexportedType reports whether a function is a method of an unexported type. Other packages can call such a method only
// through an interface; the interface's comments document it.
func ofUnexportedType(function *ast.FuncDecl) bool {
	if function.Recv == nil {
		return false
	}
	receiver := function.Recv.List[0].Type
	if pointer, ok := receiver.(*ast.StarExpr); ok {
		receiver = pointer.X
	}
	if generic, ok := receiver.(*ast.IndexExpr); ok {
		receiver = generic.X
	}
	name, ok := receiver.(*ast.Ident)
	return ok && !name.IsExported()
}

// Tests the function undocumented itself: it returns each kind of exported item without a comment, and none that has one.
func TestUndocumentedItemsAreNamed(t *testing.T) {
	const source = `package p

func Bare() {}
func hidden() {}
// Told says so.
func Told() {}
type Type struct{}
func (t *Type) Method() {}
type private struct{}
func (p private) Method() {}
type Generic[T any] struct{}
func (g Generic[T]) OfGeneric() {}
// The group.
const (
	InGroup = 1
)
const Alone = 2
var Trailing = 3 // says so
`
	file, err := parser.ParseFile(token.NewFileSet(), "p.go", source, parser.ParseComments)
	require.NoError(t, err)
	var names []string
	for _, name := range undocumented(file) {
		names = append(names, name.Name)
	}
	assert.Equal(t, []string{"Bare", "Type", "Method", "Generic", "OfGeneric", "Alone"}, names)
}
