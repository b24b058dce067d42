package store_test

import (
	"bytes"
	"context"
	"encoding/json"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"ospreypond/internal/store"
	"ospreypond/internal/store/vfs"
)

// earlierStore is the folder of a store that commit c9b2399 wrote. It has two segments, a table, deletions, and three
// spaces. The file with the suffix .dump has its records, as that version dumped them. Neither may ever be rewritten,
// because stores of that version are in use.
const earlierStore = "testdata/c9b2399"

// dumpedRecord is a line of the dump.
type dumpedRecord struct {
	Space string `json:"space"`
	Key   string `json:"key_text"`
	Value string `json:"value_text"`
	Seq   uint64 `json:"seq"`
}

// Guards against a change of the format after which an earlier version's store can't be read or has other records.
func TestAStoreOfAnEarlierVersionIsRead(t *testing.T) {
	dir := t.TempDir()
	require.NoError(t, os.CopyFS(dir, os.DirFS(earlierStore)))
	report, err := store.Check(context.Background(), dir, vfs.OS{})
	require.NoError(t, err)
	require.NoError(t, report.Err())

	opened, err := store.Open(dir, store.Options{Existing: true})
	require.NoError(t, err)
	t.Cleanup(func() { assert.NoError(t, opened.Close()) })
	var read []dumpedRecord
	snapshot := opened.Snapshot()
	defer snapshot.Close()
	spaces := opened.Spaces()
	slices.SortFunc(spaces, func(a, b *store.Space) int { return strings.Compare(a.Name(), b.Name()) })
	for _, space := range spaces {
		records := snapshot.Range(space, nil, nil)
		for records.Next() {
			value, err := records.Value()
			require.NoError(t, err)
			read = append(read, dumpedRecord{space.Name(), string(records.Key()), string(value), records.Seq()})
		}
		require.NoError(t, records.Err())
		records.Close()
	}
	assert.Equal(t, dumpedRecords(t), read)
}

// Guards against renamed keys in the manifest's JSON: decoding an earlier version's manifest would leave their fields empty.
func TestTheManifestKeepsItsKeys(t *testing.T) {
	before, err := os.ReadFile(filepath.Join(earlierStore, "MANIFEST-A"))
	require.NoError(t, err)
	dir := t.TempDir()
	require.NoError(t, os.CopyFS(dir, os.DirFS(earlierStore)))
	opened, err := store.Open(dir, store.Options{Existing: true})
	require.NoError(t, err)
	require.NoError(t, opened.Compact(context.Background()))
	require.NoError(t, opened.Close())
	after, err := os.ReadFile(filepath.Join(dir, "MANIFEST-A"))
	require.NoError(t, err)
	for key := range manifestKeys(t, before) {
		assert.Contains(t, manifestKeys(t, after), key)
	}
}

// dumpedRecords returns the records in the dump.
func dumpedRecords(t *testing.T) (records []dumpedRecord) {
	t.Helper()
	text, err := os.ReadFile(earlierStore + ".dump")
	require.NoError(t, err)
	for line := range strings.Lines(string(text)) {
		var record dumpedRecord
		require.NoError(t, json.Unmarshal([]byte(line), &record))
		records = append(records, record)
	}
	require.NotEmpty(t, records)
	return records
}

// manifestKeys returns the names of all keys in a manifest's JSON, including the keys of nested objects.
func manifestKeys(t *testing.T, manifest []byte) map[string]bool {
	t.Helper()
	start, end := bytes.IndexByte(manifest, '{'), bytes.LastIndexByte(manifest, '}')
	require.Greater(t, end, start, "a manifest holds a JSON object")
	var value any
	require.NoError(t, json.Unmarshal(manifest[start:end+1], &value))
	keys := map[string]bool{}
	addKeys(keys, value)
	return keys
}

// addKeys adds the names of all keys in a decoded JSON value to keys.
func addKeys(keys map[string]bool, value any) {
	switch value := value.(type) {
	case map[string]any:
		for key, inner := range value {
			keys[key] = true
			addKeys(keys, inner)
		}
	case []any:
		for _, inner := range value {
			addKeys(keys, inner)
		}
	}
}
