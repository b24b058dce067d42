package docs

import (
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// pagesOfNames are the pages that lead a reader into the code: each name on them must be one that the code declares.
var pagesOfNames = []string{"ARCHITECTURE.md", "control-safety"}

// nameInPage is a name as the pages write it: `package.Function`, `package.Type.Method`.
var nameInPage = regexp.MustCompile("`([a-z]+)\\.([A-Za-z]\\w*)((?:\\.\\w+)?)`")

var _ = Describe("the pages about the code", func() {
	It("name only what the code declares", func() {
		declared := declaredNames()
		packages := map[string]bool{}
		for name := range declared {
			packages[name[:strings.IndexByte(name, '.')]] = true
		}
		var unknown []string
		for page, text := range textsOf(pagesOfNames) {
			for _, found := range nameInPage.FindAllStringSubmatch(text, -1) {
				name := found[1] + "." + found[2] + found[3]
				if packages[found[1]] && !declared[name] {
					unknown = append(unknown, page+": "+name)
				}
			}
		}
		Expect(unknown).To(BeEmpty())
	})
})

// textsOf returns the texts of pages, and of all pages in folders of pages, by their paths.
func textsOf(pages []string) map[string]string {
	texts := map[string]string{}
	for _, page := range pages {
		root := filepath.Join("..", "..", "docs", page)
		err := filepath.WalkDir(root, func(path string, entry fs.DirEntry, err error) error {
			if err != nil || entry.IsDir() {
				return err
			}
			text, err := os.ReadFile(path)
			texts[path] = string(text)
			return err
		})
		Expect(err).NotTo(HaveOccurred())
	}
	return texts
}

// declaredNames returns all functions, types, constants and variables of the scheduler's packages as package.Name, and
// methods and fields as package.Type.Name, exported or not.
func declaredNames() map[string]bool {
	names := map[string]bool{}
	root := filepath.Join("..", "..", "internal", "cluster")
	err := filepath.WalkDir(root, func(path string, entry fs.DirEntry, err error) error {
		if err != nil || entry.IsDir() || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
			return err
		}
		file, err := parser.ParseFile(token.NewFileSet(), path, nil, parser.SkipObjectResolution)
		if err == nil {
			addDeclared(names, file)
		}
		return err
	})
	Expect(err).NotTo(HaveOccurred())
	return names
}

func addDeclared(names map[string]bool, file *ast.File) {
	prefix := file.Name.Name + "."
	for _, declaration := range file.Decls {
		switch declaration := declaration.(type) {
		case *ast.FuncDecl:
			names[prefix+receiverOf(declaration)+declaration.Name.Name] = true
		case *ast.GenDecl:
			for _, spec := range declaration.Specs {
				addSpec(names, prefix, spec)
			}
		}
	}
}

func addSpec(names map[string]bool, prefix string, spec ast.Spec) {
	switch spec := spec.(type) {
	case *ast.ValueSpec:
		for _, name := range spec.Names {
			names[prefix+name.Name] = true
		}
	case *ast.TypeSpec:
		names[prefix+spec.Name.Name] = true
		var members *ast.FieldList
		switch of := spec.Type.(type) {
		case *ast.StructType:
			members = of.Fields
		case *ast.InterfaceType:
			members = of.Methods
		default:
			return
		}
		for _, member := range members.List {
			for _, name := range member.Names {
				names[prefix+spec.Name.Name+"."+name.Name] = true
			}
		}
	}
}

// receiverOf returns the name of a method's type and a dot, or nothing for a function.
func receiverOf(function *ast.FuncDecl) string {
	if function.Recv == nil {
		return ""
	}
	of := function.Recv.List[0].Type
	if star, ok := of.(*ast.StarExpr); ok {
		of = star.X
	}
	switch generic := of.(type) {
	case *ast.IndexExpr:
		of = generic.X
	case *ast.IndexListExpr: // several type parameters
		of = generic.X
	}
	return of.(*ast.Ident).Name + "."
}
