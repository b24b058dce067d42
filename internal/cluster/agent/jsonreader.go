package agent

import (
	"encoding/json"
	"strconv"
	"strings"

	"github.com/pkg/errors"
)

// maxDepth bounds the nesting of values that are skipped.
const maxDepth = 64

// jsonReader reads JSON from left to right, value by value, into the types that its caller expects there. It exists because
// heartbeats are most of an agent's work: it reads one with many runs in a small fraction of the time that encoding/json
// takes. Text that encoding/json accepts gives the same values here, which tests compare; it is slightly more lenient about
// the form of numbers.
//
// After an error it stands still and reads return zero values; end returns the first error. A null is read as a zero value.
type jsonReader struct {
	text   string
	offset int
	depth  int
	err    error
}

// fail records the first error.
func (r *jsonReader) fail(what string) {
	if r.err == nil {
		r.err = errors.Errorf("%s at byte %d", what, r.offset)
	}
}

// peek returns the next byte that isn't white space, 0 at the end or after an error.
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

func (r *jsonReader) literal(word string) {
	if !strings.HasPrefix(r.text[r.offset:], word) {
		r.fail("expected a value")
		return
	}
	r.offset += len(word)
}

// object reads an object: it calls field with the name of each field, and field reads the value.
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

// array reads an array: it calls element with the index of each element, and element reads it. It returns their number.
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

// string reads a string. A string of plain ASCII without escapes is a substring of the text, and allocates nothing.
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

// escapedString reads a string with escapes or beyond ASCII, whose content starts at start.
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
		r.fail("invalid string")
	}
	return value
}

// number reads a number and returns its text.
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

func (r *jsonReader) int() int64 {
	value, err := strconv.ParseInt(r.number(), 10, 64)
	if err != nil {
		r.fail("expected an integer")
	}
	return value
}

func (r *jsonReader) uint() uint64 {
	value, err := strconv.ParseUint(r.number(), 10, 64)
	if err != nil {
		r.fail("expected a non-negative integer")
	}
	return value
}

func (r *jsonReader) float() float64 {
	value, err := strconv.ParseFloat(r.number(), 64)
	if err != nil {
		r.fail("invalid number")
	}
	return value
}

// skip reads a value of any type and ignores it.
func (r *jsonReader) skip() {
	r.depth++
	defer func() { r.depth-- }()
	if r.depth > maxDepth {
		r.fail("nesting too deep")
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

// end returns the first error, which may be that something follows the value.
func (r *jsonReader) end() error {
	if r.peek() != 0 || (r.err == nil && r.offset < len(r.text)) {
		r.fail("unexpected data after the value")
	}
	return r.err
}
