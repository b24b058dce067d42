package ci

import (
	"os/exec"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// Guards against cores that can do input or output: what decides takes inputs and tells what is to be done, so that it can
// be played in virtual time.
func TestCoresReachNoNetwork(t *testing.T) {
	for _, core := range []string{
		"assignment", "cluster/configuration", "cluster/consensus", "cluster/failure", "cluster/jobs", "cluster/placement", "cluster/protocol",
		"cluster/scheduler",
	} {
		out, err := exec.CommandContext(t.Context(), "go", "list", "-deps", "ospreypond/internal/"+core).Output()
		require.NoError(t, err, core)
		for name := range strings.Lines(string(out)) {
			name = strings.TrimSpace(name)
			reaches := name == "net" || strings.HasPrefix(name, "net/") || name == "os/exec"
			assert.False(t, reaches, "internal/%s reaches %s", core, name)
		}
	}
}
