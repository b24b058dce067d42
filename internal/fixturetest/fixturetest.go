// Package fixturetest helps tests to check that the program still reads data that an earlier version has written. A
// fixture is a file under testdata. It contains the bytes that the earlier version wrote and the fields of the value that
// it encoded. The test decodes the bytes with the current types and compares the values field by field.
//
// Gob matches fields by their names and skips unknown names without an error. Therefore a field that is renamed without
// keeping its encoded name is zero after decoding. The test compares fields by their order and values, never by their
// names: a rename that keeps the encoded form passes, and a rename that changes it fails.
//
// The fixtures were written by commit c9b2399. They must never be rewritten to make a test pass after a rename, because
// data of that form is on disks and is sent between processes of that version. The flag -write-missing-fixtures writes
// only fixtures without an existing file, for new kinds of data.
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

var writeMissing = flag.Bool("write-missing-fixtures", false, "write the fixtures whose files do not exist, see package fixturetest")

const (
	folder      = "testdata"
	extension   = ".fixture"
	bytesPerRow = 60 // data bytes on each line of hexadecimal digits
)

// Codec encodes and decodes one kind of data.
type Codec struct {
	// Encode returns a value with all fields set, and its encoded form. Both are written to a missing fixture. The encoded form
	// is also compared with an existing fixture: an earlier program must find the names of all fields that it knows.
	Encode func() (value any, data []byte, err error)
	// Decode returns the decoded value, which must have the same fields in the same order as the value that Encode returns.
	Decode func(data []byte) (any, error)
}

// Path returns the path of the fixture with that name, relative to the folder of the package under test.
func Path(name string) string { return filepath.Join(folder, name+extension) }

// Check decodes the fixture with that name and compares the fields of the decoded value with those listed in the fixture. It
// also calls Encode and checks that the encoded form contains all gob fields of the fixture.
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
		tb.Errorf("fixture %s: decode: %v", name, err)
		return
	}
	if differences := difference(expected, Fields(value)); differences != "" {
		tb.Errorf("fixture %s: the decoded fields differ from the written ones:\n%s", name, differences)
	}
	_, present, err := codec.Encode()
	if err != nil {
		tb.Errorf("fixture %s: encode the value again: %v", name, err)
		return
	}
	if missing := missingNames(data, present); len(missing) > 0 {
		tb.Errorf("fixture %s has gob fields that are no longer written, so that an earlier program would read zero for them: %v", name, missing)
	}
}

// WriteMissing reports whether the flag -write-missing-fixtures is set.
func WriteMissing() bool { return *writeMissing }

// write writes a new fixture and returns its text.
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

// format returns the text of a fixture: the data as lines of hexadecimal digits, an empty line, and one line per field.
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

// parse returns the data and the fields of a fixture's text.
func parse(text string) (data []byte, fields []Field, err error) {
	encoded, listed, found := strings.Cut(text, "\n\n")
	if strings.HasPrefix(text, "\n") { // there is no data
		encoded, listed, found = "", text[1:], true
	}
	if !found {
		return nil, nil, errors.New("no empty line between the data and the fields")
	}
	if data, err = hex.DecodeString(strings.ReplaceAll(encoded, "\n", "")); err != nil {
		return nil, nil, err
	}
	for line := range strings.Lines(listed) {
		path, value, found := strings.Cut(strings.TrimSuffix(line, "\n"), " = ")
		if !found {
			return nil, nil, fmt.Errorf("line %q is not of the form PATH = VALUE", line)
		}
		fields = append(fields, Field{Path: path, Value: value})
	}
	return data, fields, nil
}

// difference describes the fields that were written and not read, and the fields that were read and not written. It is empty
// if both lists have the same values in the same order. Paths are not compared.
func difference(expected, actual []Field) string {
	common := longestCommonSubsequence(expected, actual)
	if len(common) == len(expected) && len(common) == len(actual) {
		return ""
	}
	var differences strings.Builder
	i, j := 0, 0
	describe := func(untilI, untilJ int) {
		for ; i < untilI; i++ {
			fmt.Fprintf(&differences, "  written, not read: %s\n", expected[i])
		}
		for ; j < untilJ; j++ {
			fmt.Fprintf(&differences, "  read, not written: %s\n", actual[j])
		}
	}
	for _, pair := range common {
		describe(pair[0], pair[1])
		i, j = pair[0]+1, pair[1]+1
	}
	describe(len(expected), len(actual))
	return differences.String()
}

// longestCommonSubsequence returns the longest common subsequence of the fields' values, as pairs of an index in a and one
// in b.
func longestCommonSubsequence(a, b []Field) [][2]int {
	lengths := make([][]int, len(a)+1) // lengths[i][j] is the length for a[i:] and b[j:]
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
