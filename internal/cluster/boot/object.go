package boot

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/netip"
	"strings"
)

// faults gathers everything that is wrong with a file, each by its key.
type faults struct {
	lines []string
	keys  []string // that were looked for
}

func (f *faults) add(key, format string, arguments ...any) {
	f.lines = append(f.lines, key+": "+fmt.Sprintf(format, arguments...))
}

// object is a JSON object that is read key by key. A key that is absent or null leaves the standard value; one of the
// wrong type or out of its bounds is a fault.
type object struct {
	path   string // of the object itself, ending in a dot unless empty
	values map[string]json.RawMessage
	faults *faults
}

func (o *object) fault(key, format string, arguments ...any) {
	o.faults.add(o.path+key, format, arguments...)
}

// raw returns the value of key; ok is false where it is absent or null.
func (o *object) raw(key string) (value json.RawMessage, ok bool) {
	o.faults.keys = append(o.faults.keys, o.path+key)
	value, ok = o.values[key]
	if !ok || bytes.Equal(bytes.TrimSpace(value), []byte("null")) {
		return nil, false
	}
	return value, true
}

// decode reads key into target and tells whether something was there and fitted.
func (o *object) decode(key string, target any, due string) bool {
	value, ok := o.raw(key)
	if !ok {
		return false
	}
	if err := json.Unmarshal(value, target); err != nil {
		o.fault(key, "%s is due, found %s", due, shortened(value))
		return false
	}
	return true
}

func (o *object) object(key string) *object {
	inner := &object{path: o.path + key + ".", faults: o.faults}
	o.decode(key, &inner.values, "an object")
	return inner
}

func (o *object) text(key string) string {
	var text string
	if !o.decode(key, &text, "a text") {
		return ""
	}
	return text
}

func (o *object) requiredText(key string) string {
	if _, ok := o.raw(key); !ok {
		o.fault(key, "is missing")
		return ""
	}
	text := o.text(key)
	if text == "" {
		o.emptyIfText(key)
	}
	return text
}

// emptyIfText notes an empty text, unless a fault of type was noted already.
func (o *object) emptyIfText(key string) {
	value, _ := o.raw(key)
	if bytes.Equal(bytes.TrimSpace(value), []byte(`""`)) {
		o.fault(key, "is empty")
	}
}

func (o *object) truth(key string) bool {
	var truth bool
	return o.decode(key, &truth, "true or false") && truth
}

func (o *object) number(key string, standard, least, most float64) float64 {
	var number float64
	if !o.decode(key, &number, "a number") {
		return standard
	}
	if number < least || number > most {
		o.fault(key, "is %v, allowed is %v to %v", number, least, most)
		return standard
	}
	return number
}

func (o *object) whole(key string, standard, least, most int) int {
	number := o.number(key, float64(standard), float64(least), float64(most))
	if number != float64(int(number)) {
		o.fault(key, "is %v, a whole number is due", number)
		return standard
	}
	return int(number)
}

func (o *object) texts(key string) []string {
	var texts []string
	if !o.decode(key, &texts, "a list of texts") {
		return nil
	}
	return texts
}

func (o *object) textsByName(key string) map[string]string {
	texts := map[string]string{}
	if !o.decode(key, &texts, "an object of texts") {
		return map[string]string{}
	}
	return texts
}

// address returns the text of key, which if there must be ip:port.
func (o *object) address(key string) string {
	text := o.text(key)
	if text != "" {
		o.checkAddress(key, text)
	}
	return text
}

func (o *object) checkAddress(key, text string) {
	address, err := netip.ParseAddrPort(text)
	if err != nil || address.Port() == 0 {
		o.fault(key, "an ip:port is due, found %q", text)
	}
}

const shown = 40 // bytes of a wrong value that a fault shows

func shortened(value []byte) string {
	text := strings.TrimSpace(string(value))
	if len(text) > shown {
		text = text[:shown] + "..."
	}
	return text
}
