package ci

import (
	"os/exec"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// Guards against a core package that does network input or output, or starts programs. A core takes inputs and returns the
// actions to carry out, so that tests can run it in virtual time.
func TestCoresReachNoNetwork(t *testing.T) {
	for _, core := range []string{
		"assignment", "cluster/configuration", "cluster/consensus", "cluster/failure", "cluster/jobs", "cluster/placement", "cluster/protocol",
		"cluster/scheduler",
	} {
		out, err := exec.CommandContext(t.Context(), "go", "list", "-deps", "ospreypond/internal/"+core).Output()
		require.NoError(t, err, core)
		for name := range strings.Lines(string(out)) {
			name = strings.TrimSpace(name)
			forbidden := name == "net" || strings.HasPrefix(name, "net/") || name == "os/exec"
			assert.False(t, forbidden, "internal/%s depends on %s", core, name)
		}
	}
}
