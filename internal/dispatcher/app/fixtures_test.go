package app

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// Guards against a file of disabled runners under another name or in another form than commit c9b2399 wrote it: the process
// that takes over at an upgrade, or after a way back, reads that of the other version.
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
