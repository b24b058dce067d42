package agent

import (
	"encoding/json"
	"strconv"
	"strings"

	"github.com/pkg/errors"
)

// maxDepth bounds how deeply arrays and objects are nested in a value that is skipped. It limits the recursion of skip: a
// body of maxBodyBytes could contain millions of nested arrays.
const maxDepth = 64

// jsonReader reads JSON text from left to right. Its caller says which type comes next. It exists because heartbeats are
// most of an agent's work: it reads a heartbeat with many runs in a small fraction of the time that encoding/json takes.
// Text that encoding/json accepts gives the same values here; tests compare the two. jsonReader also accepts some forms of
// numbers that encoding/json rejects, such as 007.
//
// After an error the reader reads no further and its methods return zero values; end returns the first error. A null is
// read as the zero value of the expected type.
type jsonReader struct {
	text   string
	offset int
	depth  int   // calls of skip that are under way, one within the other
	err    error // the first error
}

// fail records an error at the current offset, unless there is an earlier error.
func (r *jsonReader) fail(problem string) {
	if r.err == nil {
		r.err = errors.Errorf("%s at byte %d", problem, r.offset)
	}
}

// peek skips white space and returns the next byte without reading it. It returns 0 at the end and after an error.
func (r *jsonReader) peek() byte {
	if r.err != nil {
		return 0
	}
	for r.offset < len(r.text) {
		switch r.text[r.offset] {
		case ' ', '\t', '\n', '\r':
			r.offset++
		default:
			return r.text[r.offset]
		}
	}
	return 0
}

// consume skips b if it comes next, and reports whether it did.
func (r *jsonReader) consume(b byte) bool {
	if r.peek() != b {
		return false
	}
	r.offset++
	return true
}

// expect reads b. It is an error if something else comes next.
func (r *jsonReader) expect(b byte) {
	if !r.consume(b) {
		r.fail("expected " + strconv.QuoteRune(rune(b)))
	}
}

// consumeNull skips a null if it comes next, and reports whether it did.
func (r *jsonReader) consumeNull() bool {
	if r.peek() != 'n' {
		return false
	}
	r.literal("null")
	return true
}

// literal reads a word such as true.
func (r *jsonReader) literal(word string) {
	if !strings.HasPrefix(r.text[r.offset:], word) {
		r.fail("expected a JSON value")
		return
	}
	r.offset += len(word)
}

// object reads an object. It calls field with the name of each field; field must read the value.
func (r *jsonReader) object(field func(name string)) {
	if r.consumeNull() {
		return
	}
	r.expect('{')
	if r.consume('}') {
		return
	}
	for r.err == nil {
		name := r.string()
		r.expect(':')
		field(name)
		if r.consume(',') {
			continue
		}
		r.expect('}')
		return
	}
}

// array reads an array and returns the number of its elements. It calls element with each index; element must read the
// value.
func (r *jsonReader) array(element func(index int)) int {
	if r.consumeNull() {
		return 0
	}
	r.expect('[')
	if r.consume(']') {
		return 0
	}
	for index := 0; r.err == nil; index++ {
		element(index)
		if r.consume(',') {
			continue
		}
		r.expect(']')
		return index + 1
	}
	return 0
}

// string reads a string. A string of ASCII characters without escapes is returned as a substring of the text, without an
// allocation.
func (r *jsonReader) string() string {
	if r.consumeNull() {
		return ""
	}
	r.expect('"')
	start := r.offset
	for r.err == nil && r.offset < len(r.text) {
		switch b := r.text[r.offset]; {
		case b == '"':
			r.offset++
			return r.text[start : r.offset-1]
		case b == '\\' || b < ' ' || b >= 0x80:
			return r.escapedString(start)
		}
		r.offset++
	}
	r.fail("unterminated string")
	return ""
}

// escapedString reads a string that has escapes or other than ASCII characters. Its content starts at offset start.
func (r *jsonReader) escapedString(start int) string {
	for r.offset < len(r.text) && r.text[r.offset] != '"' {
		if r.text[r.offset] == '\\' {
			r.offset++
		}
		r.offset++
	}
	if r.offset >= len(r.text) {
		r.fail("unterminated string")
		return ""
	}
	r.offset++
	var value string
	if err := json.Unmarshal([]byte(r.text[start-1:r.offset]), &value); err != nil {
		r.fail("invalid escape or character in a string")
	}
	return value
}

// number reads the characters of a number and returns them. The caller parses them.
func (r *jsonReader) number() string {
	if r.consumeNull() {
		return "0"
	}
	r.peek()
	start := r.offset
	for r.err == nil && r.offset < len(r.text) && strings.IndexByte("+-.0123456789eE", r.text[r.offset]) >= 0 {
		r.offset++
	}
	if r.offset == start {
		r.fail("expected a number")
		return "0"
	}
	return r.text[start:r.offset]
}

// int reads an integer.
func (r *jsonReader) int() int64 {
	value, err := strconv.ParseInt(r.number(), 10, 64)
	if err != nil {
		r.fail("expected a 64-bit integer")
	}
	return value
}

// uint reads an integer that isn't negative.
func (r *jsonReader) uint() uint64 {
	value, err := strconv.ParseUint(r.number(), 10, 64)
	if err != nil {
		r.fail("expected a non-negative 64-bit integer")
	}
	return value
}

// float reads any number.
func (r *jsonReader) float() float64 {
	value, err := strconv.ParseFloat(r.number(), 64)
	if err != nil {
		r.fail("expected a 64-bit floating-point number")
	}
	return value
}

// skip reads a value of any type and ignores it.
func (r *jsonReader) skip() {
	r.depth++
	defer func() { r.depth-- }()
	if r.depth > maxDepth {
		r.fail("arrays and objects are nested more than 64 deep")
		return
	}
	switch r.peek() {
	case '{':
		r.object(func(string) { r.skip() })
	case '[':
		r.array(func(int) { r.skip() })
	case '"':
		r.string()
	case 't':
		r.literal("true")
	case 'f':
		r.literal("false")
	default:
		r.float()
	}
}

// end returns the first error. Text after the value is an error as well.
func (r *jsonReader) end() error {
	if r.peek() != 0 || (r.err == nil && r.offset < len(r.text)) {
		r.fail("unexpected data after the value")
	}
	return r.err
}
