// Package ci holds the tests of what CI itself is made of.
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

// Guards against known failures that pass over more than they say: a file that CI cannot take at its word is refused by its
// line, and a good one passes over its own tests alone.
func TestKnownRedFileIsTakenAtItsWord(t *testing.T) {
	tree := t.TempDir()
	writeTestModule(t, tree)
	file := filepath.Join(tree, "KNOWN-RED.txt")
	check := func() (pattern, said string, err error) {
		var out, told strings.Builder
		cmd := exec.CommandContext(t.Context(), "bash", filepath.Join("..", "..", ".ci", "known-red"), file, tree)
		cmd.Stdout, cmd.Stderr = &out, &told
		err = cmd.Run()
		return strings.TrimSpace(out.String()), told.String(), err
	}
	write := func(lines ...string) {
		require.NoError(t, os.WriteFile(file, []byte(strings.Join(lines, "\n")), 0o600))
	}

	pattern, _, err := check()
	require.NoError(t, err)
	assert.Empty(t, pattern, "without a file everything runs")

	const red = "TestRed: a list call outlives its place (issue 28)"
	for _, lines := range [][]string{{red}, {red, ""}} {
		write(lines...)
		pattern, said, err := check()
		require.NoError(t, err, said)
		assert.Equal(t, "^(TestRed)$", pattern)
		assert.Contains(t, said, red, "it is printed each time")
	}
	run := exec.CommandContext(t.Context(), "go", "test", "-count=1", "-v", "-skip", "^(TestRed)$", "./...")
	run.Dir = tree
	out, err := run.CombinedOutput()
	require.NoError(t, err, "%s", out)
	for _, other := range []string{"TestRedder", "TestTwice", "TestOther"} {
		assert.Contains(t, string(out), "--- PASS: "+other, "not passed over")
	}
	write(red, "TestRedder: b (issue 1)", "TestOther: c (issue 2)")
	pattern, _, err = check()
	require.NoError(t, err)
	assert.Equal(t, "^(TestRed|TestRedder|TestOther)$", pattern)

	for _, bad := range refusedFiles(red) {
		write(bad.lines...)
		pattern, said, err := check()
		assert.Error(t, err, "%v", bad.lines)
		assert.Empty(t, pattern, "%v", bad.lines)
		assert.Contains(t, said, "KNOWN-RED.txt:"+bad.said)
	}
}

// writeTestModule writes a module with a test that fails, some that pass, and a name that two packages use.
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

// refusedFile is a file of known failures that is refused, and what is said of it.
type refusedFile struct {
	said  string
	lines []string
}

// refusedFiles returns what cannot be taken at its word; red is a good line.
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
