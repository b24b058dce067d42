package app

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// Guards against a change of the name or format of the file of disabled runners: at an upgrade, or a return to an earlier
// version, a process reads the file that the other version wrote. testdata has the file as commit c9b2399 wrote it.
func TestDisabledRunnersOfAnEarlierVersionAreRead(t *testing.T) {
	ids, err := loadDisabled("testdata")
	require.NoError(t, err)
	assert.Equal(t, []string{"s-1", "s-2"}, ids)

	dir := t.TempDir()
	require.NoError(t, saveDisabled(dir, ids))
	before, err := os.ReadFile(filepath.Join("testdata", "ospreypond-bans.json"))
	require.NoError(t, err)
	after, err := os.ReadFile(filepath.Join(dir, "ospreypond-bans.json"))
	require.NoError(t, err)
	assert.Equal(t, string(before), string(after))
}
