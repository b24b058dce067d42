// Package docs holds pages that operators use to what the program does.
package docs

import (
	"encoding/json"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"ospreypond/internal/cluster/boot"
	"ospreypond/internal/cluster/failure"
	"ospreypond/internal/cluster/failure/answers"
)

func TestDocs(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "pages")
}

// rowsOf returns the cells of all rows of a page's tables that have one of these heads first.
func rowsOf(page, head string) [][]string {
	content, err := os.ReadFile(filepath.Join("..", "..", "docs", page))
	Expect(err).NotTo(HaveOccurred())
	var rows [][]string
	inside := false
	for _, line := range strings.Split(string(content), "\n") {
		if !strings.HasPrefix(line, "|") {
			inside = false
			continue
		}
		cells := strings.Split(strings.Trim(line, "| "), "|")
		for i := range cells {
			cells[i] = strings.TrimSpace(cells[i])
		}
		switch {
		case cells[0] == head:
			inside = true
		case inside && !strings.HasPrefix(cells[0], "---"):
			rows = append(rows, cells)
		}
	}
	Expect(rows).NotTo(BeEmpty())
	return rows
}

func unquoted(text string) string { return strings.Trim(text, "`") }

// setting is a row of settings.md.
type setting struct{ key, kind, unit, standard string }

func settings() []setting {
	var list []setting
	for _, row := range rowsOf("settings.md", "key") {
		Expect(row).To(HaveLen(5), "%v", row)
		list = append(list, setting{unquoted(row[0]), row[1], row[2], unquoted(row[3])})
	}
	return list
}

// least has only what is required.
func least() map[string]any {
	return map[string]any{
		"nodeName": "n", "role": "r", "ip": "10.0.0.1", "zone": "z", "internalPorts": []int{1, 2}, "seeds": []string{},
	}
}

// with sets a key, which may be inside an object, to a JSON value.
func with(object map[string]any, key, value string) map[string]any {
	outer, inner, nested := strings.Cut(key, ".")
	if nested {
		object[outer] = map[string]any{inner: json.RawMessage(value)}
	} else {
		object[key] = json.RawMessage(value)
	}
	return object
}

func parse(object map[string]any) (*boot.Settings, error) {
	data, err := json.Marshal(object)
	Expect(err).NotTo(HaveOccurred())
	return boot.Parse(data)
}

// wrong has, for each type, a value that is not of it.
var wrong = map[string]string{
	"text": "5", "address": `"x"`, "list": `"x"`, "object": `"x"`, "yes/no": `"x"`, "number": `"x"`, "whole": "1.5",
}

var _ = Describe("the page of settings", func() {
	It("has every key that is read, and no other", func() {
		var keys []string
		for _, documented := range settings() {
			keys = append(keys, documented.key)
		}
		slices.Sort(keys)
		Expect(keys).To(Equal(boot.Keys()))
	})

	It("tells the type, which is checked", func() {
		for _, documented := range settings() {
			Expect(wrong).To(HaveKey(documented.kind), documented.key)
			_, err := parse(with(least(), documented.key, wrong[documented.kind]))
			Expect(err).To(MatchError(ContainSubstring(documented.key+": ")), documented.key)
		}
	})

	It("tells what is required", func() {
		for _, documented := range settings() {
			object := least()
			delete(object, documented.key)
			_, err := parse(object)
			if documented.standard == "required" {
				Expect(err).To(MatchError(ContainSubstring(documented.key+": is missing")), documented.key)
				continue
			}
			Expect(err).NotTo(HaveOccurred(), documented.key)
		}
	})

	It("tells the default, where there is one", func() {
		standard, err := parse(least())
		Expect(err).NotTo(HaveOccurred())
		for _, documented := range settings() {
			if documented.standard == "required" {
				continue
			}
			if slices.Contains([]string{"number", "whole", "yes/no"}, documented.kind) {
				Expect(documented.standard).NotTo(BeEmpty(), documented.key)
				said, err := parse(with(least(), documented.key, documented.standard))
				Expect(err).NotTo(HaveOccurred())
				Expect(said).To(Equal(standard), documented.key)
				other, err := parse(with(least(), documented.key, another(documented.standard)))
				Expect(err).NotTo(HaveOccurred())
				Expect(other).NotTo(Equal(standard), documented.key)
				continue
			}
			Expect(documented.standard).To(BeEmpty(), documented.key)
		}
	})

	It("has an example that is good", func() {
		content, err := os.ReadFile(filepath.Join("..", "..", "docs", "settings.md"))
		Expect(err).NotTo(HaveOccurred())
		example := regexp.MustCompile(`(?s)\n    (\{.*?\n    \})`).FindStringSubmatch(string(content))
		Expect(example).NotTo(BeNil())
		_, err = boot.Parse([]byte(example[1]))
		Expect(err).NotTo(HaveOccurred())
	})

	It("tells the unit of what the key's end names", func() {
		for _, documented := range settings() {
			switch {
			case strings.HasSuffix(documented.key, "Ms"), strings.HasSuffix(documented.key, "_ms"):
				Expect(documented.unit).To(Equal("ms"), documented.key)
			case strings.HasSuffix(documented.key, "S"), strings.HasSuffix(documented.key, "_s"):
				Expect(documented.unit).To(Equal("s"), documented.key)
			}
		}
	})
})

// another returns a value of the same type that is allowed, too.
func another(value string) string {
	if value == "false" {
		return "true"
	}
	number, err := strconv.ParseFloat(value, 64)
	Expect(err).NotTo(HaveOccurred())
	return fmt.Sprint(number + 1)
}

// kinds are all kinds of faults.
func kinds() []failure.Kind {
	var list []failure.Kind
	for kind := failure.None + 1; kind != 0; kind++ {
		if kind.String() == failure.UnknownOutcome.String() && kind != failure.UnknownOutcome {
			return list
		}
		list = append(list, kind)
	}
	return list
}

var _ = Describe("the page of operations", func() {
	It("has every kind of fault with its answer and advice", func() {
		var told [][]string
		for _, kind := range kinds() {
			answer := answers.ForKind(kind)
			retry := "no"
			if answer.Retry {
				retry = "yes"
			}
			told = append(told, []string{"`" + answer.Name + "`", strconv.Itoa(answer.Status), retry, answer.Advice})
		}
		Expect(rowsOf("operations.md", "kind")).To(Equal(told))
	})

	It("has every line of the roles' logs, and no other", func() {
		var documented []string
		for _, row := range rowsOf("operations.md", "line") {
			documented = append(documented, strings.Split(unquoted(row[0]), "`, `")...)
		}
		Expect(documented).To(ConsistOf(logLines()))
	})
})

var (
	logCall    = regexp.MustCompile(`\.Log\("(?:msg|message)", "([^"]+)"`)
	debugCall  = regexp.MustCompile(`level\.Debug\(`)
	rolesFiles = []string{"cli/roles.go", "cluster/agent", "cluster/boot", "cluster/configuration", "cluster/consensus",
		"cluster/control", "cluster/directory", "cluster/frontend", "cluster/jobs", "cluster/placement", "cluster/replica",
		"cluster/scheduler", "cluster/seeds", "cluster/transport"}
)

// logLines are the lines of level info and above that the code of the roles has.
func logLines() []string {
	found := map[string]bool{}
	for _, part := range rolesFiles {
		root := filepath.Join("..", "..", "internal", filepath.FromSlash(part))
		err := filepath.WalkDir(root, func(path string, entry fs.DirEntry, err error) error {
			if err != nil || entry.IsDir() || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
				return err
			}
			content, err := os.ReadFile(path)
			for _, line := range strings.Split(string(content), "\n") {
				if call := logCall.FindStringSubmatch(line); call != nil && !debugCall.MatchString(line) {
					found[call[1]] = true
				}
			}
			return err
		})
		Expect(err).NotTo(HaveOccurred())
	}
	var lines []string
	for line := range found {
		lines = append(lines, line)
	}
	return lines
}
