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

// Guards against gob data that no fixture covers: a package that starts to encode with gob must have at least one fixture,
// or a renamed field would lose data without a failing test.
func TestEveryPackageThatEncodesWithGobHasFixtures(t *testing.T) {
	packages := map[string]bool{}
	require.NoError(t, filepath.WalkDir(internalFolder(t), func(path string, _ fs.DirEntry, err error) error {
		if err == nil && strings.HasSuffix(path, ".go") && !strings.HasSuffix(path, "_test.go") && importsGob(t, path) {
			packages[filepath.Dir(path)] = true
		}
		return err
	}))
	assert.NotEmpty(t, packages)
	for folder := range packages {
		fixtures, err := filepath.Glob(filepath.Join(folder, Path("*")))
		require.NoError(t, err)
		assert.NotEmpty(t, fixtures, "%s encodes with gob and has no fixtures", folder)
	}
}

// internalFolder returns the path of the folder `internal` of the module.
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

// isFile reports whether path is a regular file.
func isFile(path string) bool {
	info, err := os.Stat(path)
	return err == nil && info.Mode().IsRegular()
}

// importsGob reports whether the Go file at path imports encoding/gob.
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
