package fixturetest

import (
	"bytes"
	"encoding/gob"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

type inner struct {
	Text  string
	Bytes []byte
}

type sample struct {
	Number  int64
	Flag    bool
	List    []inner
	Pointer *inner
	Map     map[uint32]string
	Sum     [3]byte
	Ratio   float64
	hidden  int
}

// renamed differs from sample in three ways: the field Flag has another name, the type of Pointer has a renamed field, and
// there is an added field.
type renamed struct {
	Number  int64
	Marked  bool
	List    []inner
	Added   int
	Pointer *renamedInner
	Map     map[uint32]string
	Sum     [3]byte
	Ratio   float64
}

type renamedInner struct {
	Label string
	Bytes []byte
}

// Exported, Values and Alone are types with names that, like their fields' names, are part of the gob descriptions.
type (
	Exported struct{ Value Values }
	Values   []Alone
	Alone    struct{ Only map[string]Exported }
)

// filled returns a sample with all exported fields set.
func filled() *sample {
	value := &sample{}
	Fill(value)
	return value
}

func TestFillSetsEveryFieldAndFieldsListsThem(t *testing.T) {
	value := filled()
	assert.Equal(t, &sample{
		Number:  1001,
		Flag:    true,
		List:    []inner{{Text: "text 2", Bytes: []byte("data 3")}, {Text: "text 4", Bytes: []byte("data 5")}},
		Pointer: &inner{Text: "text 6", Bytes: []byte("data 7")},
		Map:     map[uint32]string{1008: "text 9", 1010: "text 11"},
		Sum:     [3]byte{13, 14, 15},
		Ratio:   15.5,
	}, value)
	assert.Zero(t, value.hidden)
	paths := []string{}
	for _, field := range Fields(value) {
		paths = append(paths, field.Path)
	}
	assert.Equal(t, []string{
		"Number", "Flag", "List[0].Text", "List[0].Bytes", "List[1].Text", "List[1].Bytes", "Pointer.Text", "Pointer.Bytes",
		"Map[1008]", "Map[1008]", "Map[1010]", "Map[1010]", "Sum", "Ratio",
	}, paths)
}

func TestFieldsListsZeroElements(t *testing.T) {
	assert.Equal(t, []Field{{"[0]", "1"}, {"[1]", "zero"}}, Fields([]int{1, 0}))
	assert.Empty(t, Fields(&sample{}))
	assert.Empty(t, Fields(nil))
}

func TestFixtureIsReadAsItWasWritten(t *testing.T) {
	data := bytes.Repeat([]byte("data"), 40)
	for _, written := range [][]byte{data, data[:bytesPerRow], nil} {
		read, fields, err := parse(string(format(written, Fields(filled()))))
		require.NoError(t, err)
		assert.Equal(t, written, append([]byte(nil), read...))
		assert.Empty(t, difference(Fields(filled()), fields))
	}
}

func TestRenamedGobFieldsAreReported(t *testing.T) {
	var data bytes.Buffer
	require.NoError(t, gob.NewEncoder(&data).Encode(filled()))
	var read renamed
	require.NoError(t, gob.NewDecoder(&data).Decode(&read), "gob skips unknown fields without an error")
	assert.Equal(t, "  written, not read: Flag = true\n  written, not read: Pointer.Text = \"text 6\"\n",
		difference(Fields(filled()), Fields(&read)))
}

func TestGobFieldsNoLongerWrittenAreReported(t *testing.T) {
	var earlier, present bytes.Buffer
	require.NoError(t, gob.NewEncoder(&earlier).Encode(filled()))
	value := &renamed{}
	Fill(value)
	require.NoError(t, gob.NewEncoder(&present).Encode(value))
	assert.Equal(t, []string{"Number", "Flag", "List", "Pointer", "Map", "Sum", "Ratio", "Text", "Bytes"}, fieldNames(earlier.Bytes()))
	assert.Equal(t, []string{"Flag"}, missingNames(earlier.Bytes(), present.Bytes()))
	assert.Equal(t, []string{"Marked", "Added", "Label", "Bytes"}, missingNames(present.Bytes(), earlier.Bytes()))
	assert.Empty(t, missingNames(earlier.Bytes(), earlier.Bytes()))
}

func TestTypeNamesAreNotReportedAsFieldNames(t *testing.T) {
	var data bytes.Buffer
	require.NoError(t, gob.NewEncoder(&data).Encode(Exported{}))
	assert.ElementsMatch(t, []string{"Value", "Only"}, fieldNames(data.Bytes()))
}

func TestReorderedFieldsAreReported(t *testing.T) {
	assert.NotEmpty(t, difference([]Field{{"A", "1"}, {"B", "2"}}, []Field{{"A", "2"}, {"B", "1"}}))
	assert.NotEmpty(t, difference([]Field{{"A", "1"}}, []Field{{"A", "1"}, {"B", "1"}}))
	assert.Empty(t, difference([]Field{{"A", "1"}}, []Field{{"B", "1"}}))
}
