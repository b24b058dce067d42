package agent

import (
	"encoding/json"
	"strconv"
	"strings"

	"github.com/pkg/errors"
)

// mostDepth bounds how deep values that are passed over may nest.
const mostDepth = 64

// cursor reads JSON from left to right, value by value, into what its caller knows to come there. It exists because
// heartbeats are most of what an agent does: it reads one with many runs in a small part of the time that a general
// decoder takes. After a fault it stands still, and reads give zero values. A null is read as a zero value.
type cursor struct {
	text  string
	at    int
	depth int
	fault error
}

func (c *cursor) fail(what string) {
	if c.fault == nil {
		c.fault = errors.Errorf("%s at byte %d", what, c.at)
	}
}

// peek returns the next byte that isn't space, 0 at the end or after a fault.
func (c *cursor) peek() byte {
	if c.fault != nil {
		return 0
	}
	for c.at < len(c.text) {
		switch c.text[c.at] {
		case ' ', '\t', '\n', '\r':
			c.at++
		default:
			return c.text[c.at]
		}
	}
	return 0
}

// take goes past b if it comes next, and reports whether it did.
func (c *cursor) take(b byte) bool {
	if c.peek() != b {
		return false
	}
	c.at++
	return true
}

func (c *cursor) expect(b byte) {
	if !c.take(b) {
		c.fail("a " + strconv.QuoteRune(rune(b)) + " is missing")
	}
}

// null goes past a null if it comes next.
func (c *cursor) null() bool {
	if c.peek() != 'n' {
		return false
	}
	c.word("null")
	return true
}

func (c *cursor) word(word string) {
	if !strings.HasPrefix(c.text[c.at:], word) {
		c.fail("a value is missing")
		return
	}
	c.at += len(word)
}

// object calls field with the name of each field; field reads its value.
func (c *cursor) object(field func(name string)) {
	if c.null() {
		return
	}
	c.expect('{')
	if c.take('}') {
		return
	}
	for c.fault == nil {
		name := c.string()
		c.expect(':')
		field(name)
		if c.take(',') {
			continue
		}
		c.expect('}')
		return
	}
}

// array calls element with the number of each element, from 0; element reads it. It returns how many there were.
func (c *cursor) array(element func(number int)) int {
	if c.null() {
		return 0
	}
	c.expect('[')
	if c.take(']') {
		return 0
	}
	for number := 0; c.fault == nil; number++ {
		element(number)
		if c.take(',') {
			continue
		}
		c.expect(']')
		return number + 1
	}
	return 0
}

// string reads a text. Without escapes it is a part of the whole, and costs no memory.
func (c *cursor) string() string {
	if c.null() {
		return ""
	}
	c.expect('"')
	start := c.at
	for c.fault == nil && c.at < len(c.text) {
		switch b := c.text[c.at]; {
		case b == '"':
			c.at++
			return c.text[start : c.at-1]
		case b == '\\' || b < ' ' || b >= 0x80:
			return c.unusualString(start)
		}
		c.at++
	}
	c.fail("a text has no end")
	return ""
}

// unusualString reads a text with escapes or beyond ASCII, whose content starts at start.
func (c *cursor) unusualString(start int) string {
	for c.at < len(c.text) && c.text[c.at] != '"' {
		if c.text[c.at] == '\\' {
			c.at++
		}
		c.at++
	}
	if c.at >= len(c.text) {
		c.fail("a text has no end")
		return ""
	}
	c.at++
	var value string
	if err := json.Unmarshal([]byte(c.text[start-1:c.at]), &value); err != nil {
		c.fail("a text is not sound")
	}
	return value
}

// number returns the text of a number.
func (c *cursor) number() string {
	if c.null() {
		return "0"
	}
	c.peek()
	start := c.at
	for c.fault == nil && c.at < len(c.text) && strings.IndexByte("+-.0123456789eE", c.text[c.at]) >= 0 {
		c.at++
	}
	if c.at == start {
		c.fail("a number is missing")
		return "0"
	}
	return c.text[start:c.at]
}

func (c *cursor) int() int64 {
	value, err := strconv.ParseInt(c.number(), 10, 64)
	if err != nil {
		c.fail("a whole number is wanted")
	}
	return value
}

func (c *cursor) uint() uint64 {
	value, err := strconv.ParseUint(c.number(), 10, 64)
	if err != nil {
		c.fail("a whole number, not negative, is wanted")
	}
	return value
}

func (c *cursor) float() float64 {
	value, err := strconv.ParseFloat(c.number(), 64)
	if err != nil {
		c.fail("a number is wanted")
	}
	return value
}

// skip goes past any value.
func (c *cursor) skip() {
	c.depth++
	defer func() { c.depth-- }()
	if c.depth > mostDepth {
		c.fail("values nest too deep")
		return
	}
	switch c.peek() {
	case '{':
		c.object(func(string) { c.skip() })
	case '[':
		c.array(func(int) { c.skip() })
	case '"':
		c.string()
	case 't':
		c.word("true")
	case 'f':
		c.word("false")
	default:
		c.float()
	}
}

// end returns the fault, or that something follows the value.
func (c *cursor) end() error {
	if c.peek() != 0 || (c.fault == nil && c.at < len(c.text)) {
		c.fail("something follows the end")
	}
	return c.fault
}
