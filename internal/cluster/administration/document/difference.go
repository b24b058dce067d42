package document

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"slices"

	"github.com/pkg/errors"

	"ospreypond/internal/cluster/configuration"
)

// Difference is what leads from one configuration to another.
type Difference struct {
	From    uint64   `json:"from"`
	To      uint64   `json:"to"` // as the file says
	Changes []Change `json:"changes"`
}

// What a Change does.
const (
	Added   = "added"
	Removed = "removed"
	Changed = "changed"
)

// Change is one item that comes, goes or changes.
type Change struct {
	Section string          `json:"section"`
	Name    string          `json:"name,omitempty"` // empty: the section is no list of named items
	Change  string          `json:"change"`
	Fields  []Field         `json:"fields,omitempty"` // of a changed item
	Before  json.RawMessage `json:"before,omitempty"`
	After   json.RawMessage `json:"after,omitempty"`
}

// Field is one field of an item that changes; what is missing is null.
type Field struct {
	Name   string          `json:"name"`
	Before json.RawMessage `json:"before"`
	After  json.RawMessage `json:"after"`
}

// Compare tells what applying a file to the configuration in force would change.
func Compare(present, body []byte) (*Difference, error) {
	said, raised, err := raisedVersion(present, body)
	if err != nil {
		return nil, err
	}
	before, after, err := applied(present, raised)
	if err != nil {
		return nil, err
	}
	difference := &Difference{From: before.Version(), To: said, Changes: []Change{}}
	earlier, err := itemsOf(before)
	if err != nil {
		return nil, err
	}
	later, err := itemsOf(after)
	if err != nil {
		return nil, err
	}
	for _, key := range keysOf(earlier, later) {
		if change, differs := compareItem(key, earlier[key], later[key]); differs {
			difference.Changes = append(difference.Changes, change)
		}
	}
	return difference, nil
}

// itemKey names an item of a document.
type itemKey struct{ section, name string }

// itemsOf takes a document apart.
func itemsOf(document *configuration.Document) (map[itemKey]json.RawMessage, error) {
	var sections map[string]json.RawMessage
	if err := json.Unmarshal(document.JSON(), &sections); err != nil {
		return nil, errors.Wrap(err, "take a configuration apart")
	}
	delete(sections, "version")
	items := map[itemKey]json.RawMessage{}
	for section, value := range sections {
		var list []json.RawMessage
		if json.Unmarshal(value, &list) != nil || !addNamed(items, section, list) {
			items[itemKey{section, ""}] = value
		}
	}
	return items, nil
}

// addNamed adds the items of a list; it tells false if they have no names.
func addNamed(items map[itemKey]json.RawMessage, section string, list []json.RawMessage) bool {
	for _, element := range list {
		var named struct{ Name string }
		if json.Unmarshal(element, &named) != nil || named.Name == "" {
			return false
		}
		items[itemKey{section, named.Name}] = element
	}
	return true
}

func keysOf(a, b map[itemKey]json.RawMessage) []itemKey {
	all := maps.Clone(a)
	maps.Copy(all, b)
	return slices.SortedFunc(maps.Keys(all), func(x, y itemKey) int {
		if x.section != y.section {
			return bytes.Compare([]byte(x.section), []byte(y.section))
		}
		return bytes.Compare([]byte(x.name), []byte(y.name))
	})
}

func compareItem(key itemKey, before, after json.RawMessage) (Change, bool) {
	change := Change{Section: key.section, Name: key.name, Before: before, After: after}
	switch {
	case before == nil:
		change.Change = Added
	case after == nil:
		change.Change = Removed
	case equal(before, after):
		return Change{}, false
	default:
		change.Change = Changed
		change.Fields = compareFields(before, after)
	}
	return change, true
}

// equal tells whether two values are the same, spaces and the order of fields aside.
func equal(a, b json.RawMessage) bool { return bytes.Equal(canonical(a), canonical(b)) }

func canonical(value json.RawMessage) []byte {
	decoder := json.NewDecoder(bytes.NewReader(value))
	decoder.UseNumber()
	var read any
	if decoder.Decode(&read) != nil {
		return value
	}
	written, err := json.Marshal(read)
	if err != nil {
		return value
	}
	return written
}

func compareFields(before, after json.RawMessage) []Field {
	var earlier, later map[string]json.RawMessage
	if json.Unmarshal(before, &earlier) != nil || json.Unmarshal(after, &later) != nil {
		return nil
	}
	all := maps.Clone(earlier)
	maps.Copy(all, later)
	var fields []Field
	for _, name := range slices.Sorted(maps.Keys(all)) {
		a, b := orNull(earlier[name]), orNull(later[name])
		if !equal(a, b) {
			fields = append(fields, Field{Name: name, Before: a, After: b})
		}
	}
	return fields
}

func orNull(value json.RawMessage) json.RawMessage {
	if value == nil {
		return json.RawMessage("null")
	}
	return value
}

// Text writes the difference for people.
func (d *Difference) Text(w io.Writer) {
	if len(d.Changes) == 0 && d.From == d.To {
		fmt.Fprintf(w, "version %d: nothing changes\n", d.From)
		return
	}
	fmt.Fprintf(w, "version %d to %d", d.From, d.To)
	if d.To <= d.From {
		fmt.Fprint(w, ", which must be raised before it can be applied")
	}
	if len(d.Changes) == 0 {
		fmt.Fprint(w, ": nothing else changes")
	}
	fmt.Fprintln(w)
	for i := range d.Changes {
		d.Changes[i].text(w)
	}
}

func (c *Change) text(w io.Writer) {
	signs := map[string]string{Added: "+", Removed: "-", Changed: "~"}
	title := c.Section
	if c.Name != "" {
		title += " " + c.Name
	}
	switch {
	case c.Change != Changed:
		value := c.Before
		if c.Change == Added {
			value = c.After
		}
		fmt.Fprintf(w, "%s %s  %s\n", signs[c.Change], title, canonical(value))
	case len(c.Fields) == 0:
		fmt.Fprintf(w, "~ %s  %s -> %s\n", title, canonical(c.Before), canonical(c.After))
	default:
		fmt.Fprintf(w, "~ %s\n", title)
		for _, field := range c.Fields {
			fmt.Fprintf(w, "    %s: %s -> %s\n", field.Name, canonical(field.Before), canonical(field.After))
		}
	}
}
