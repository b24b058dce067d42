// Package ci tests the scripts of CI, and rules about the repository that no other tool checks.
package ci

import (
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// Guards against a KNOWN-RED.txt that makes CI skip more tests than it names. The script .ci/known-red rejects an invalid
// file with the number of the faulty line; for a valid file it prints a pattern that skips only the tests that the file
// names.
func TestKnownRedFileIsTakenAtItsWord(t *testing.T) {
	tree := t.TempDir()
	writeTestModule(t, tree)
	file := filepath.Join(tree, "KNOWN-RED.txt")
	check := func() (pattern, message string, err error) {
		var out, errs strings.Builder
		cmd := exec.CommandContext(t.Context(), "bash", filepath.Join("..", "..", ".ci", "known-red"), file, tree)
		cmd.Stdout, cmd.Stderr = &out, &errs
		err = cmd.Run()
		return strings.TrimSpace(out.String()), errs.String(), err
	}
	write := func(lines ...string) {
		require.NoError(t, os.WriteFile(file, []byte(strings.Join(lines, "\n")), 0o600))
	}

	pattern, _, err := check()
	require.NoError(t, err)
	assert.Empty(t, pattern, "without a file the pattern skips nothing")

	const red = "TestRed: a list call outlives its place (issue 28)"
	for _, lines := range [][]string{{red}, {red, ""}} {
		write(lines...)
		pattern, message, err := check()
		require.NoError(t, err, message)
		assert.Equal(t, "^(TestRed)$", pattern)
		assert.Contains(t, message, red, "the script prints each known failure to standard error")
	}
	run := exec.CommandContext(t.Context(), "go", "test", "-count=1", "-v", "-skip", "^(TestRed)$", "./...")
	run.Dir = tree
	out, err := run.CombinedOutput()
	require.NoError(t, err, "%s", out)
	for _, other := range []string{"TestRedder", "TestTwice", "TestOther"} {
		assert.Contains(t, string(out), "--- PASS: "+other, "%s must not be skipped", other)
	}
	write(red, "TestRedder: b (issue 1)", "TestOther: c (issue 2)")
	pattern, _, err = check()
	require.NoError(t, err)
	assert.Equal(t, "^(TestRed|TestRedder|TestOther)$", pattern)

	for _, bad := range refusedFiles(red) {
		write(bad.lines...)
		pattern, message, err := check()
		assert.Error(t, err, "%v", bad.lines)
		assert.Empty(t, pattern, "%v", bad.lines)
		assert.Contains(t, message, "KNOWN-RED.txt:"+bad.message)
	}
}

// writeTestModule writes a Go module with a test that fails, tests that pass, and a test name (TestTwice) that two packages
// use.
func writeTestModule(t *testing.T, tree string) {
	t.Helper()
	for name, text := range map[string]string{
		"go.mod": "module red\n\ngo 1.26\n",
		"a/a_test.go": "package a\n\nimport \"testing\"\n\nfunc TestRed(t *testing.T) { t.Fatal(\"red\") }\n" +
			"func TestRedder(t *testing.T) {}\nfunc TestTwice(t *testing.T) {}\nfunc helper() {}\n",
		"b/b_test.go": "package b\n\nimport \"testing\"\n\nfunc TestTwice(t *testing.T) {}\nfunc TestOther(t *testing.T) {}\n",
	} {
		file := filepath.Join(tree, name)
		require.NoError(t, os.MkdirAll(filepath.Dir(file), 0o755))
		require.NoError(t, os.WriteFile(file, []byte(text), 0o600))
	}
}

// refusedFile is an invalid KNOWN-RED.txt. The error that rejects it must contain "KNOWN-RED.txt:", followed by message.
type refusedFile struct {
	message string
	lines   []string
}

// refusedFiles returns invalid files of each kind; red is a valid line.
func refusedFiles(red string) []refusedFile {
	const form = "1: is not 'TestName: cause (issue N)'"
	return []refusedFile{
		{"4: more than 3 lines", []string{red, "TestRedder: b (issue 1)", "TestOther: c (issue 2)", "x"}},
		{"1: TestNobody names 0 top-level tests", []string{"TestNobody: a (issue 1)"}},
		{form, []string{"helper: a (issue 1)"}},
		{"2: TestTwice names 2 top-level tests", []string{red, "TestTwice: a (issue 1)"}},
		{"2: TestRed is named twice", []string{red, red}},
		{form, []string{"TestRed"}},
		{form, []string{"TestRed: cause"}},
		{form, []string{"TestRed: (issue 1)"}},
		{form, []string{"TestRed/sub: cause (issue 1)"}},
		{form, []string{"Test.*: cause (issue 1)"}},
		{"2: is not", []string{red, "", "TestRedder: b (issue 1)"}},
		{"1: names no test", nil},
	}
}
