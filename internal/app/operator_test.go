package app

import (
	"context"
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// Bans go to the next process whole: what one saves, the next loads; no file is no ban, a spoilt one an error
// that names the file.
func TestBansAreHandedToTheNextProcess(t *testing.T) {
	dir := t.TempDir()
	ids, err := loadBans(dir)
	require.NoError(t, err)
	assert.Empty(t, ids)
	require.NoError(t, saveBans(dir, []string{"s-1", "s-2"}))
	require.NoError(t, saveBans(dir, []string{"s-2"}))
	ids, err = loadBans(dir)
	require.NoError(t, err)
	assert.Equal(t, []string{"s-2"}, ids)
	left, err := filepath.Glob(filepath.Join(dir, "*"))
	require.NoError(t, err)
	assert.Len(t, left, 1, "no temporary file stays behind")

	require.NoError(t, os.WriteFile(filepath.Join(dir, bansFile), []byte(`["s-`), 0o600))
	_, err = loadBans(dir)
	assert.ErrorContains(t, err, bansFile)
}

// At an upgrade in place the new process listens at the clients' address while the old one still does.
func TestTwoProcessesListenAtOneAddress(t *testing.T) {
	first, err := listen(context.Background(), "127.0.0.1:0")
	require.NoError(t, err)
	defer first.Close()
	second, err := listen(context.Background(), first.Addr().String())
	require.NoError(t, err, "the second listener beside the first")
	defer second.Close()
}
