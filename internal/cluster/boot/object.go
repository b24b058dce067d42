package boot

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/netip"
	"strings"
)

// problems collects everything that is wrong with a file, so that all of it is reported at once.
type problems struct {
	lines []string // each begins with its key and a colon
	keys  []string // that were looked up
}

func (p *problems) add(key, format string, arguments ...any) {
	p.lines = append(p.lines, key+": "+fmt.Sprintf(format, arguments...))
}

// object is a JSON object that is read key by key. A key that is absent or null gives the default; one of the wrong type or
// out of range is a problem, and gives the default as well.
type object struct {
	path     string // of the object itself, ending in a dot unless empty
	values   map[string]json.RawMessage
	problems *problems
}

func (o *object) addProblem(key, format string, arguments ...any) {
	o.problems.add(o.path+key, format, arguments...)
}

// raw returns the value of key; ok is false if it is absent or null.
func (o *object) raw(key string) (value json.RawMessage, ok bool) {
	o.problems.keys = append(o.problems.keys, o.path+key)
	value, ok = o.values[key]
	if !ok || bytes.Equal(bytes.TrimSpace(value), []byte("null")) {
		return nil, false
	}
	return value, true
}

// decode decodes key into target and reports whether there was a value of that type. expected names the type.
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

// object returns the object at key, an empty one if there is none.
func (o *object) object(key string) *object {
	inner := &object{path: o.path + key + ".", problems: o.problems}
	o.decode(key, &inner.values, "an object")
	return inner
}

func (o *object) string(key string) string {
	var text string
	if !o.decode(key, &text, "a string") {
		return ""
	}
	return text
}

// requiredString returns the string of key. It is a problem if there is none or it is empty.
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

func (o *object) bool(key string) bool {
	var value bool
	return o.decode(key, &value, "true or false") && value
}

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

func (o *object) integer(key string, defaultValue, minValue, maxValue int) int {
	number := o.number(key, float64(defaultValue), float64(minValue), float64(maxValue))
	if number != float64(int(number)) {
		o.addProblem(key, "is %v, expected an integer", number)
		return defaultValue
	}
	return int(number)
}

func (o *object) strings(key string) []string {
	var list []string
	if !o.decode(key, &list, "a list of strings") {
		return nil
	}
	return list
}

// stringMap returns the object of strings at key, never nil.
func (o *object) stringMap(key string) map[string]string {
	texts := map[string]string{}
	if !o.decode(key, &texts, "an object of strings") {
		return map[string]string{}
	}
	return texts
}

// address returns the string of key, which must be ip:port unless there is none.
func (o *object) address(key string) string {
	text := o.string(key)
	if text != "" {
		o.checkAddress(key, text)
	}
	return text
}

func (o *object) checkAddress(key, text string) {
	address, err := netip.ParseAddrPort(text)
	if err != nil || address.Port() == 0 {
		o.addProblem(key, "expected ip:port, found %q", text)
	}
}

// maxShownBytes bounds the part of a wrong value that a problem shows.
const maxShownBytes = 40

func truncate(value []byte) string {
	text := strings.TrimSpace(string(value))
	if len(text) > maxShownBytes {
		text = text[:maxShownBytes] + "..."
	}
	return text
}
