// Package platform checks the dispatcher's dependencies and source code against the rules of the platform that runs it: the
// dispatcher is a single process that starts no other program, doesn't fork, and uses neither io_uring, splice, sendfile nor
// Unix sockets.
package platform

import (
	"encoding/json"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// refusedImports are the packages of the standard library that start programs or load code at run time.
var refusedImports = []string{"os/exec", "plugin"}

// refusedCalls matches calls and words that the project's own source must not contain: the platform refuses each of these
// features.
var refusedCalls = regexp.MustCompile(`\b(syscall|unix|os)\.(ForkExec|StartProcess|Exec|Splice|Tee|Vmsplice|Sendfile|` +
	`Clone|Fork|Vfork|IoUring\w*)\b|"unix(gram|packet)?"|io_uring`)

// pkg is a package as `go list -json` describes it.
type pkg struct {
	ImportPath string
	Dir        string
	GoFiles    []string
	CgoFiles   []string
	Standard   bool
}

// deps returns the packages that the program is linked from.
func deps(t *testing.T) []pkg {
	t.Helper()
	cmd := exec.CommandContext(t.Context(), "go", "list", "-deps", "-json", "ospreypond/cmd/ospreypond")
	out, err := cmd.Output()
	require.NoError(t, err, "go list")
	var all []pkg
	d := json.NewDecoder(strings.NewReader(string(out)))
	for d.More() {
		var p pkg
		require.NoError(t, d.Decode(&p))
		all = append(all, p)
	}
	require.NotEmpty(t, all)
	return all
}

func TestTheDispatcherStartsNoProgram(t *testing.T) {
	for _, p := range deps(t) {
		for _, bad := range refusedImports {
			assert.NotEqual(t, bad, p.ImportPath, "the program imports %s, which starts programs or loads code", bad)
		}
	}
}

func TestTheDispatcherUsesNoRefusedCall(t *testing.T) {
	own := 0
	for _, p := range deps(t) {
		if !strings.HasPrefix(p.ImportPath, "ospreypond/") {
			continue
		}
		own++
		for _, f := range append(p.GoFiles, p.CgoFiles...) {
			text, err := os.ReadFile(filepath.Join(p.Dir, f))
			require.NoError(t, err)
			for _, m := range refusedCalls.FindAllString(string(text), -1) {
				t.Errorf("%s: contains %s, which the platform refuses", filepath.Join(p.ImportPath, f), m)
			}
		}
	}
	assert.Greater(t, own, 5, "go list must return the project's own packages")
}
