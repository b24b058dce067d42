package fixturetest

import (
	"go/parser"
	"go/token"
	"io/fs"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// Guards against data that is encoded with gob and that no fixture covers.
func TestEveryPackageThatEncodesWithGobHasFixtures(t *testing.T) {
	users := map[string]bool{}
	require.NoError(t, filepath.WalkDir(internalFolder(t), func(path string, _ fs.DirEntry, err error) error {
		if err == nil && strings.HasSuffix(path, ".go") && !strings.HasSuffix(path, "_test.go") && importsGob(t, path) {
			users[filepath.Dir(path)] = true
		}
		return err
	}))
	assert.NotEmpty(t, users)
	for user := range users {
		fixtures, err := filepath.Glob(filepath.Join(user, Path("*")))
		require.NoError(t, err)
		assert.NotEmpty(t, fixtures, "%s has none", user)
	}
}

// internalFolder returns the folder that has the module's packages.
func internalFolder(t *testing.T) string {
	t.Helper()
	dir, err := os.Getwd()
	require.NoError(t, err)
	for !isFile(filepath.Join(dir, "go.mod")) {
		require.NotEqual(t, filepath.Dir(dir), dir, "no go.mod above this package")
		dir = filepath.Dir(dir)
	}
	return filepath.Join(dir, "internal")
}

func isFile(path string) bool {
	info, err := os.Stat(path)
	return err == nil && info.Mode().IsRegular()
}

func importsGob(t *testing.T, path string) bool {
	t.Helper()
	file, err := parser.ParseFile(token.NewFileSet(), path, nil, parser.ImportsOnly)
	require.NoError(t, err)
	for _, imported := range file.Imports {
		if imported.Path.Value == `"encoding/gob"` {
			return true
		}
	}
	return false
}
