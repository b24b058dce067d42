// Package platform holds what the fleet days require of the dispatcher's build: one process that starts no
// other program, forks nothing and uses neither io_uring, splice, sendfile nor Unix sockets.
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

// refusedImports start programs or load code.
var refusedImports = []string{"os/exec", "plugin"}

// refusedCalls are what the fleet days refuse, as they would be written in the project's own code.
var refusedCalls = regexp.MustCompile(`\b(syscall|unix|os)\.(ForkExec|StartProcess|Exec|Splice|Tee|Vmsplice|Sendfile|` +
	`Clone|Fork|Vfork|IoUring\w*)\b|"unix(gram|packet)?"|io_uring`)

type pkg struct {
	ImportPath string
	Dir        string
	GoFiles    []string
	CgoFiles   []string
	Standard   bool
}

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
			assert.NotEqual(t, bad, p.ImportPath, "the dispatcher links %s", bad)
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
				t.Errorf("%s: %s, which the platform refuses", filepath.Join(p.ImportPath, f), m)
			}
		}
	}
	assert.Greater(t, own, 5, "the project's own packages were found")
}
