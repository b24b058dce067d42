package boot

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/netip"
	"strings"
)

// problems collects the problems of a file, so that one error can report all of them. It also records the keys that were
// looked up; see Keys.
type problems struct {
	lines []string // one for each problem, beginning with its key and a colon
	keys  []string // keys that were looked up
}

// add adds a problem with the value of key.
func (p *problems) add(key, format string, arguments ...any) {
	p.lines = append(p.lines, key+": "+fmt.Sprintf(format, arguments...))
}

// object is a JSON object. Its values are read key by key. For a key that is absent or null, the methods return the
// default. A value of the wrong type or out of range is a problem, and they return the default as well. Without a
// parameter for it, the default is the zero value.
type object struct {
	path     string // keys of the enclosing objects and of this one, each with a dot after it; empty: the file's object
	values   map[string]json.RawMessage
	problems *problems
}

// addProblem adds a problem with the value of a key of this object.
func (o *object) addProblem(key, format string, arguments ...any) {
	o.problems.add(o.path+key, format, arguments...)
}

// raw returns the JSON text of the value of key. ok is false if the key is absent or its value is null.
func (o *object) raw(key string) (value json.RawMessage, ok bool) {
	o.problems.keys = append(o.problems.keys, o.path+key)
	value, ok = o.values[key]
	if !ok || bytes.Equal(bytes.TrimSpace(value), []byte("null")) {
		return nil, false
	}
	return value, true
}

// decode decodes the value of key into target and reports whether there is a value of target's type. A value of another type
// is a problem; expected names the right type in its text.
func (o *object) decode(key string, target any, expected string) bool {
	value, ok := o.raw(key)
	if !ok {
		return false
	}
	if err := json.Unmarshal(value, target); err != nil {
		o.addProblem(key, "expected %s, found %s", expected, truncate(value))
		return false
	}
	return true
}

// object returns the object at key. It returns an empty object if there is none.
func (o *object) object(key string) *object {
	inner := &object{path: o.path + key + ".", problems: o.problems}
	o.decode(key, &inner.values, "an object")
	return inner
}

// string returns the string at key.
func (o *object) string(key string) string {
	var text string
	if !o.decode(key, &text, "a string") {
		return ""
	}
	return text
}

// requiredString returns the string at key. An absent or empty string is a problem.
func (o *object) requiredString(key string) string {
	value, ok := o.raw(key)
	if !ok {
		o.addProblem(key, "is missing")
		return ""
	}
	if bytes.Equal(bytes.TrimSpace(value), []byte(`""`)) {
		o.addProblem(key, "is empty")
		return ""
	}
	return o.string(key)
}

// bool returns the truth value at key.
func (o *object) bool(key string) bool {
	var value bool
	return o.decode(key, &value, "true or false") && value
}

// number returns the number at key, which must be from minValue to maxValue.
func (o *object) number(key string, defaultValue, minValue, maxValue float64) float64 {
	var number float64
	if !o.decode(key, &number, "a number") {
		return defaultValue
	}
	if number < minValue || number > maxValue {
		o.addProblem(key, "is %v, allowed is %v to %v", number, minValue, maxValue)
		return defaultValue
	}
	return number
}

// integer returns the integer at key, which must be from minValue to maxValue.
func (o *object) integer(key string, defaultValue, minValue, maxValue int) int {
	number := o.number(key, float64(defaultValue), float64(minValue), float64(maxValue))
	if number != float64(int(number)) {
		o.addProblem(key, "is %v, expected an integer", number)
		return defaultValue
	}
	return int(number)
}

// strings returns the list of strings at key.
func (o *object) strings(key string) []string {
	var list []string
	if !o.decode(key, &list, "a list of strings") {
		return nil
	}
	return list
}

// stringMap returns the object at key, which must have only strings as values. Its default is an empty map; it never
// returns nil.
func (o *object) stringMap(key string) map[string]string {
	texts := map[string]string{}
	if !o.decode(key, &texts, "an object of strings") {
		return map[string]string{}
	}
	return texts
}

// address returns the string at key, which must have the form ip:port if it isn't empty.
func (o *object) address(key string) string {
	text := o.string(key)
	if text != "" {
		o.checkAddress(key, text)
	}
	return text
}

// checkAddress adds a problem with the value of key if text, which is that value, hasn't the form ip:port.
func (o *object) checkAddress(key, text string) {
	address, err := netip.ParseAddrPort(text)
	if err != nil || address.Port() == 0 {
		o.addProblem(key, "expected ip:port, found %q", text)
	}
}

// maxShownBytes bounds the length of the beginning of a wrong value that a problem quotes.
const maxShownBytes = 40

// truncate returns a value as a problem quotes it.
func truncate(value []byte) string {
	text := strings.TrimSpace(string(value))
	if len(text) > maxShownBytes {
		text = text[:maxShownBytes] + "..."
	}
	return text
}
