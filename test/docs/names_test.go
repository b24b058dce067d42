package docs

import (
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// pagesOfNames are the pages, and folders of pages, that refer to code by its names: the code must declare each name on
// them.
var pagesOfNames = []string{"ARCHITECTURE.md", "control-safety", "endings.md", "fleet.md", "view.md", "gangs.md", "system.md", "CAPACITY.md"}

var (
	// qualifiedName is a name as the pages write it: `package.Function`, `package.Type.Method`, or `Type.Method` where the
	// package was named before.
	qualifiedName = regexp.MustCompile("`(\\w+)\\.([A-Za-z]\\w*)((?:\\.\\w+)?)`")
	// plainName is a name in camel case without its package, such as `maxRetainedBytes`. Keys of settings have the same form.
	plainName = regexp.MustCompile("`([a-z]+[A-Z]\\w*)`")
	word      = regexp.MustCompile(`\w+`)
)

// otherPrefixes are the first parts of qualified names that the code need not declare: packages of the standard library, an
// object of the settings (limits), and a placeholder (package).
var otherPrefixes = []string{"http", "net", "limits", "package"}

// fileExtensions are the second parts of file names, which look like qualified names.
var fileExtensions = []string{"go", "md", "json", "toml"}

var _ = Describe("the pages about the code", func() {
	It("refer by qualified names only to declarations in the code", func() {
		declared := declaredNames()
		unqualified := map[string]bool{}
		for name := range declared {
			_, rest, _ := strings.Cut(name, ".")
			unqualified[rest] = true
		}
		var unknown []string
		for page, text := range textsOf(pagesOfNames) {
			for _, found := range qualifiedName.FindAllStringSubmatch(text, -1) {
				name := found[1] + "." + found[2] + found[3]
				isOther := slices.Contains(otherPrefixes, found[1]) || slices.Contains(fileExtensions, found[2])
				if !isOther && !declared[name] && !unqualified[name] {
					unknown = append(unknown, page+": "+name)
				}
			}
		}
		Expect(unknown).To(BeEmpty(), strings.Join(unknown, "\n"))
	})

	It("refer by unqualified names only to words that occur in the code", func() {
		words := wordsOfCode()
		var unknown []string
		for page, text := range textsOf(append(pagesOfNames, "constants.md", "decisions.md")) {
			for _, found := range plainName.FindAllStringSubmatch(text, -1) {
				if !words[found[1]] {
					unknown = append(unknown, page+": "+found[1])
				}
			}
		}
		Expect(unknown).To(BeEmpty(), strings.Join(unknown, "\n"))
	})
})

// wordsOfCode returns all words in the code: in names, string literals and comments.
func wordsOfCode() map[string]bool {
	words := map[string]bool{}
	eachFile(func(path string) error {
		text, err := os.ReadFile(path)
		for _, found := range word.FindAllString(string(text), -1) {
			words[found] = true
		}
		return err
	})
	return words
}

// textsOf returns the texts of pages by their paths. For a folder it returns the texts of all files below it.
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

// declaredNames returns all functions, types, constants and variables of the packages as package.Name, and
// methods and fields as package.Type.Name, exported or not.
func declaredNames() map[string]bool {
	names := map[string]bool{}
	eachFile(func(path string) error {
		if strings.HasSuffix(path, "_test.go") {
			return nil
		}
		file, err := parser.ParseFile(token.NewFileSet(), path, nil, parser.SkipObjectResolution)
		if err == nil {
			addDeclared(names, file)
		}
		return err
	})
	return names
}

// eachFile calls visit for each Go file below internal and policy, including tests.
func eachFile(visit func(path string) error) {
	for _, root := range []string{"internal", "policy"} {
		err := filepath.WalkDir(filepath.Join("..", "..", root), func(path string, entry fs.DirEntry, err error) error {
			if err != nil || entry.IsDir() || !strings.HasSuffix(path, ".go") {
				return err
			}
			return visit(path)
		})
		Expect(err).NotTo(HaveOccurred())
	}
}

// addDeclared adds the names that a file declares.
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

// addSpec adds the names of a constant, variable or type, and of a type's fields and methods.
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

// receiverOf returns the name of a method's receiver type followed by a dot, or "" for a function.
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
