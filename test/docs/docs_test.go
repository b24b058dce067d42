// Package docs checks that the pages for operators and developers agree with the code.
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

// rowsOf finds the tables of a page with head as the heading of the first column, and returns the cells of their rows.
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

// unquoted returns a text without the backquotes around it.
func unquoted(text string) string { return strings.Trim(text, "`") }

// setting is a row of a table of settings.md. defaultValue is "required" for a key without a default that must be set.
type setting struct{ key, kind, unit, defaultValue string }

func settings() []setting {
	var list []setting
	for _, row := range rowsOf("settings.md", "key") {
		Expect(row).To(HaveLen(5), "%v", row)
		list = append(list, setting{unquoted(row[0]), row[1], row[2], unquoted(row[3])})
	}
	return list
}

// requiredSettings returns settings that have only the required keys.
func requiredSettings() map[string]any {
	return map[string]any{
		"nodeName": "n", "role": "r", "ip": "10.0.0.1", "zone": "z", "internalPorts": []int{1, 2}, "seeds": []string{},
	}
}

// withKey sets a key of an object to a JSON value and returns the object. A key "outer.inner" lies in a nested object, which
// withKey replaces.
func withKey(object map[string]any, key, value string) map[string]any {
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

// wrongTypeValues has, for each type that settings.md names, a JSON value of another type.
var wrongTypeValues = map[string]string{
	"text": "5", "address": `"x"`, "list": `"x"`, "object": `"x"`, "yes/no": `"x"`, "number": `"x"`, "whole": "1.5",
}

var _ = Describe("the page of settings", func() {
	It("lists exactly the keys that the program reads", func() {
		var keys []string
		for _, documented := range settings() {
			keys = append(keys, documented.key)
		}
		slices.Sort(keys)
		Expect(keys).To(Equal(boot.Keys()))
	})

	It("names for each key the type that the program checks", func() {
		for _, documented := range settings() {
			Expect(wrongTypeValues).To(HaveKey(documented.kind), documented.key)
			_, err := parse(withKey(requiredSettings(), documented.key, wrongTypeValues[documented.kind]))
			Expect(err).To(MatchError(ContainSubstring(documented.key+": ")), documented.key)
		}
	})

	It("marks exactly the required keys as required", func() {
		for _, documented := range settings() {
			object := requiredSettings()
			delete(object, documented.key)
			_, err := parse(object)
			if documented.defaultValue == "required" {
				Expect(err).To(MatchError(ContainSubstring(documented.key+": is missing")), documented.key)
				continue
			}
			Expect(err).NotTo(HaveOccurred(), documented.key)
		}
	})

	It("states the default of each number and yes/no key, and of no other key", func() {
		defaultValue, err := parse(requiredSettings())
		Expect(err).NotTo(HaveOccurred())
		for _, documented := range settings() {
			if documented.defaultValue == "required" {
				continue
			}
			if slices.Contains([]string{"number", "whole", "yes/no"}, documented.kind) {
				Expect(documented.defaultValue).NotTo(BeEmpty(), documented.key)
				parsed, err := parse(withKey(requiredSettings(), documented.key, documented.defaultValue))
				Expect(err).NotTo(HaveOccurred())
				Expect(parsed).To(Equal(defaultValue), documented.key)
				other, err := parse(withKey(requiredSettings(), documented.key, differentValue(documented.defaultValue)))
				Expect(err).NotTo(HaveOccurred())
				Expect(other).NotTo(Equal(defaultValue), documented.key)
				continue
			}
			Expect(documented.defaultValue).To(BeEmpty(), documented.key)
		}
	})

	It("has an example that the program accepts", func() {
		content, err := os.ReadFile(filepath.Join("..", "..", "docs", "settings.md"))
		Expect(err).NotTo(HaveOccurred())
		example := regexp.MustCompile(`(?s)\n    (\{.*?\n    \})`).FindStringSubmatch(string(content))
		Expect(example).NotTo(BeNil())
		_, err = boot.Parse([]byte(example[1]))
		Expect(err).NotTo(HaveOccurred())
	})

	It("states the unit that the key's suffix names", func() {
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

// differentValue returns a different value of the same type that is also allowed.
func differentValue(value string) string {
	if value == "false" {
		return "true"
	}
	number, err := strconv.ParseFloat(value, 64)
	Expect(err).NotTo(HaveOccurred())
	return fmt.Sprint(number + 1)
}

// failureKinds returns all kinds of failures except None. It stops at the first value that is no kind: String returns the
// text of UnknownOutcome for such a value.
func failureKinds() []failure.Kind {
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
	It("lists every kind of failure with its answer, status, retry and advice", func() {
		var expected [][]string
		for _, kind := range failureKinds() {
			answer := answers.ForKind(kind)
			retry := "no"
			if answer.Retry {
				retry = "yes"
			}
			expected = append(expected, []string{"`" + answer.Name + "`", strconv.Itoa(answer.Status), retry, answer.Advice})
		}
		Expect(rowsOf("operations.md", "kind")).To(Equal(expected))
	})

	It("lists exactly the log messages of the roles at level info and above", func() {
		var documented []string
		for _, row := range rowsOf("operations.md", "line") {
			documented = append(documented, strings.Split(unquoted(row[0]), "`, `")...)
		}
		Expect(documented).To(ConsistOf(logLines()))
	})
})

var (
	logCall   = regexp.MustCompile(`\.Log\("(?:msg|message)", "([^"]+)"`)
	debugCall = regexp.MustCompile(`level\.Debug\(`)
	rolePaths = []string{"cli/roles.go", "cluster/agent", "cluster/boot", "cluster/configuration", "cluster/consensus",
		"cluster/control", "cluster/directory", "cluster/frontend", "cluster/jobs", "cluster/placement", "cluster/replica",
		"cluster/scheduler", "cluster/seeds", "cluster/transport"}
)

// logLines returns the log messages at level info and above in the code of the roles. It finds calls of Log with "msg" or
// "message" as first key on one line; a line with level.Debug is left out.
func logLines() []string {
	found := map[string]bool{}
	for _, part := range rolePaths {
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
