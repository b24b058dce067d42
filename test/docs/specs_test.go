package docs

import (
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"path/filepath"
	"regexp"
	"slices"
	"strconv"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// pagesOfSpecs are the pages that quote descriptions of specs in tables: each quoted text must occur in a spec's
// description.
var pagesOfSpecs = []string{
	"control-safety/requirements.md",
	"control-safety/mutations.md",
	"control-safety/configuration-commands.md",
	"control-safety/catching-up.md",
	"incidents/hardening.md",
}

var (
	quoted   = regexp.MustCompile(`"([^"]+)"`)
	ellipsis = regexp.MustCompile(`\.\.\.|…`)
)

// specFunctions are Ginkgo's functions that take the description of a spec, container or table entry as first argument.
var specFunctions = []string{"Describe", "DescribeTable", "Context", "When", "It", "Specify", "Entry"}

var _ = Describe("the pages about tests", func() {
	It("quote only specs that exist", func() {
		specs := specsOf(filepath.Join("..", "..", "internal"))
		var unknown []string
		for page, text := range textsOf(pagesOfSpecs) {
			for _, row := range tableRowsOf(text) {
				for _, found := range quoted.FindAllStringSubmatch(row, -1) {
					if !slices.ContainsFunc(specs, func(spec string) bool { return quotes(found[1], spec) }) {
						unknown = append(unknown, page+": "+found[1])
					}
				}
			}
		}
		Expect(unknown).To(BeEmpty(), strings.Join(unknown, "\n"))
	})
})

// tableRowsOf returns the rows of a page's tables.
func tableRowsOf(text string) []string {
	rows := strings.Split(text, "\n")
	return slices.DeleteFunc(rows, func(row string) bool { return !strings.HasPrefix(row, "|") })
}

// quotes reports whether a text quotes a spec's description. An ellipsis, or a colon with a space, stands for any omitted
// text; the parts between must occur in the description in their order.
func quotes(text, spec string) bool {
	for _, part := range ellipsis.Split(strings.ReplaceAll(text, ": ", "…"), -1) {
		part = strings.Trim(part, " ,")
		at := strings.Index(spec, part)
		if at < 0 {
			return false
		}
		spec = spec[at+len(part):]
	}
	return true
}

// specsOf returns the descriptions of all specs below a folder, each preceded by the descriptions of its containers.
func specsOf(root string) []string {
	var specs []string
	err := filepath.WalkDir(root, func(path string, entry fs.DirEntry, err error) error {
		if err != nil || entry.IsDir() || !strings.HasSuffix(path, "_test.go") {
			return err
		}
		file, err := parser.ParseFile(token.NewFileSet(), path, nil, parser.SkipObjectResolution)
		if err == nil {
			specs = append(specs, specsIn(file, "")...)
		}
		return err
	})
	Expect(err).NotTo(HaveOccurred())
	return specs
}

// specsIn returns the descriptions of the containers and specs below a node, each preceded by the description container. It
// also returns every string literal, because the names of table rows are plain strings.
func specsIn(node ast.Node, container string) []string {
	var specs []string
	ast.Inspect(node, func(child ast.Node) bool {
		if name, ok := textOf(child); ok {
			specs = append(specs, name)
		}
		call, ok := child.(*ast.CallExpr)
		if !ok || child == node {
			return true
		}
		description, ok := descriptionOf(call)
		if !ok {
			return true
		}
		full := strings.TrimSpace(container + " " + description)
		specs = append(specs, full)
		specs = append(specs, specsIn(call, full)...)
		return false
	})
	return specs
}

// descriptionOf returns the description of the spec or container that a call declares; ok is false if it declares none.
func descriptionOf(call *ast.CallExpr) (description string, ok bool) {
	if len(call.Args) == 0 || !slices.Contains(specFunctions, functionName(call)) {
		return "", false
	}
	return textOf(call.Args[0])
}

// functionName returns the name of a called function without its package, or "" if the function has no name.
func functionName(call *ast.CallExpr) string {
	switch function := call.Fun.(type) {
	case *ast.Ident:
		return function.Name
	case *ast.SelectorExpr:
		return function.Sel.Name
	default:
		return ""
	}
}

// textOf returns the value of a node that is a string literal; ok is false for other nodes.
func textOf(node ast.Node) (text string, ok bool) {
	literal, isLiteral := node.(*ast.BasicLit)
	if !isLiteral || literal.Kind != token.STRING {
		return "", false
	}
	text, err := strconv.Unquote(literal.Value)
	return text, err == nil
}
