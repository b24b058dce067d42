// Package fixturetest helps tests to read what an earlier version of the program has written. A fixture is a file under
// testdata: the bytes that the earlier version wrote, and the fields that the written value had. The test decodes the bytes
// with the present types and compares field by field.
//
// Gob matches fields by their names and passes over those that it does not find, without an error: a field that is
// renamed without keeping its encoded name arrives as zero. So fields are compared by their order and values, never by
// their names. A rename that keeps the encoded form passes, one that does not fails.
//
// The fixtures come from commit c9b2399. They must never be rewritten to get a test to pass after a rename: what they
// hold is on disks and on its way between processes of that version. The flag -write-missing-fixtures writes those that
// are not there, for new kinds of data, and leaves all others alone.
package fixturetest

import (
	"encoding/hex"
	"errors"
	"flag"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

var writeMissing = flag.Bool("write-missing-fixtures", false, "write the fixtures that are not there, see package fixturetest")

const (
	folder      = "testdata"
	extension   = ".fixture"
	bytesPerRow = 60 // bytes
)

// Codec writes and reads one kind of data.
type Codec struct {
	// Encode returns the value to be kept as a fixture, with all fields set, and its encoded form. It is compared with the
	// fixture as well: an earlier program must find the names of all fields that it knows.
	Encode func() (value any, data []byte, err error)
	// Decode returns what the encoded form holds, as a value with the same fields in the same order.
	Decode func(data []byte) (any, error)
}

// Path returns the path of the fixture of that name, below the folder of the package under test.
func Path(name string) string { return filepath.Join(folder, name+extension) }

// Check decodes the fixture of that name and compares all its fields with what was written. It also encodes the value
// again: what is written today must have all gob fields that the fixture has.
func Check(tb testing.TB, name string, codec Codec) {
	tb.Helper()
	text, err := os.ReadFile(Path(name))
	if errors.Is(err, fs.ErrNotExist) && *writeMissing {
		text, err = write(name, codec)
	}
	if err != nil {
		tb.Errorf("fixture %s: %v", name, err)
		return
	}
	data, expected, err := parse(string(text))
	if err != nil {
		tb.Errorf("fixture %s: %v", name, err)
		return
	}
	value, err := codec.Decode(data)
	if err != nil {
		tb.Errorf("fixture %s cannot be decoded any more: %v", name, err)
		return
	}
	if said := difference(expected, Fields(value)); said != "" {
		tb.Errorf("fixture %s is decoded to something else than was written:\n%s", name, said)
	}
	_, present, err := codec.Encode()
	if err != nil {
		tb.Errorf("fixture %s cannot be encoded any more: %v", name, err)
		return
	}
	if missing := missingNames(data, present); len(missing) > 0 {
		tb.Errorf("fixture %s has fields that are not written any more, and that an earlier program would miss: %v", name, missing)
	}
}

// WriteMissing reports whether fixtures that are not there are to be written.
func WriteMissing() bool { return *writeMissing }

func write(name string, codec Codec) ([]byte, error) {
	value, data, err := codec.Encode()
	if err != nil {
		return nil, err
	}
	text := format(data, Fields(value))
	if err := os.MkdirAll(folder, 0o755); err != nil {
		return nil, err
	}
	return text, os.WriteFile(Path(name), text, 0o644)
}

// format returns a fixture's text: the data in hexadecimal, an empty line, the fields.
func format(data []byte, fields []Field) []byte {
	var text strings.Builder
	for len(data) > 0 {
		line := data[:min(len(data), bytesPerRow)]
		data = data[len(line):]
		text.WriteString(hex.EncodeToString(line) + "\n")
	}
	text.WriteString("\n")
	for _, field := range fields {
		text.WriteString(field.String() + "\n")
	}
	return []byte(text.String())
}

func parse(text string) (data []byte, fields []Field, err error) {
	encoded, listed, found := strings.Cut(text, "\n\n")
	if strings.HasPrefix(text, "\n") { // nothing is encoded
		encoded, listed, found = "", text[1:], true
	}
	if !found {
		return nil, nil, errors.New("has no blank row between data and fields")
	}
	if data, err = hex.DecodeString(strings.ReplaceAll(encoded, "\n", "")); err != nil {
		return nil, nil, err
	}
	for line := range strings.Lines(listed) {
		path, value, found := strings.Cut(strings.TrimSuffix(line, "\n"), " = ")
		if !found {
			return nil, nil, fmt.Errorf("no field: %q", line)
		}
		fields = append(fields, Field{Path: path, Value: value})
	}
	return data, fields, nil
}

// difference describes what was written and is not read, and the reverse; it is empty for the same values in the same order.
func difference(expected, actual []Field) string {
	common := longestCommonSubsequence(expected, actual)
	if len(common) == len(expected) && len(common) == len(actual) {
		return ""
	}
	var said strings.Builder
	i, j := 0, 0
	describe := func(untilI, untilJ int) {
		for ; i < untilI; i++ {
			fmt.Fprintf(&said, "  written, not read: %s\n", expected[i])
		}
		for ; j < untilJ; j++ {
			fmt.Fprintf(&said, "  read, not written: %s\n", actual[j])
		}
	}
	for _, pair := range common {
		describe(pair[0], pair[1])
		i, j = pair[0]+1, pair[1]+1
	}
	describe(len(expected), len(actual))
	return said.String()
}

// longestCommonSubsequence returns the longest list of positions at which both have the same values in the same order.
func longestCommonSubsequence(a, b []Field) [][2]int {
	lengths := make([][]int, len(a)+1)
	for i := range lengths {
		lengths[i] = make([]int, len(b)+1)
	}
	for i := len(a) - 1; i >= 0; i-- {
		for j := len(b) - 1; j >= 0; j-- {
			if a[i].Value == b[j].Value {
				lengths[i][j] = lengths[i+1][j+1] + 1
			} else {
				lengths[i][j] = max(lengths[i+1][j], lengths[i][j+1])
			}
		}
	}
	var pairs [][2]int
	for i, j := 0, 0; i < len(a) && j < len(b); {
		switch {
		case a[i].Value == b[j].Value:
			pairs = append(pairs, [2]int{i, j})
			i, j = i+1, j+1
		case lengths[i+1][j] >= lengths[i][j+1]:
			i++
		default:
			j++
		}
	}
	return pairs
}
