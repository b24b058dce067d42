package document

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"

	"github.com/pkg/errors"

	"ospreypond/internal/cluster/configuration"
)

// Difference has the changes from the current configuration to the configuration in a file. It is printed as JSON or by
// Text.
type Difference struct {
	From    uint64   `json:"from"` // current version
	To      uint64   `json:"to"`   // version in the file, which may be too low
	Changes []Change `json:"changes"`
}

// ChangeKind is the kind of a Change.
type ChangeKind string

// The kinds of changes. Operators' scripts read them in the JSON.
const (
	Added   ChangeKind = "added"
	Removed ChangeKind = "removed"
	Changed ChangeKind = "changed"
)

// Change is an item that is added, removed or changed.
type Change struct {
	Section string          `json:"section"`
	Name    string          `json:"name,omitempty"` // empty if the section is not a list of named items
	Kind    ChangeKind      `json:"change"`
	Fields  []Field         `json:"fields,omitempty"` // the changed fields of an item that is Changed
	Before  json.RawMessage `json:"before,omitempty"` // the complete item; empty if it is Added
	After   json.RawMessage `json:"after,omitempty"`  // the complete item; empty if it is Removed
}

// Field is a changed field of an item. The value of a missing field is null.
type Field struct {
	Name   string          `json:"name"`
	Before json.RawMessage `json:"before"`
	After  json.RawMessage `json:"after"`
}

// Compare returns the changes that a file makes to the current configuration. The file's version may be too low to be
// applied.
func Compare(current, body []byte) (*Difference, error) {
	version, raised, err := raiseVersion(current, body)
	if err != nil {
		return nil, err
	}
	before, after, err := applyTo(current, raised)
	if err != nil {
		return nil, err
	}
	difference := &Difference{From: before.Version(), To: version, Changes: []Change{}}
	earlier, err := itemsByKey(before)
	if err != nil {
		return nil, err
	}
	later, err := itemsByKey(after)
	if err != nil {
		return nil, err
	}
	for _, key := range unionOfKeys(earlier, later) {
		if change, differs := compareItem(key, earlier[key], later[key]); differs {
			difference.Changes = append(difference.Changes, change)
		}
	}
	return difference, nil
}

// itemKey identifies an item of a document; name is empty for a section that is not a list of named items.
type itemKey struct{ section, name string }

// itemsByKey returns the items of a document's lists, and the complete values of its other sections except the version.
func itemsByKey(document *configuration.Document) (map[itemKey]json.RawMessage, error) {
	var sections map[string]json.RawMessage
	if err := json.Unmarshal(document.JSON(), &sections); err != nil {
		return nil, errors.Wrap(err, "parse a configuration")
	}
	delete(sections, "version")
	items := map[itemKey]json.RawMessage{}
	for section, value := range sections {
		var list []json.RawMessage
		if json.Unmarshal(value, &list) != nil || !addNamedItems(items, section, list) {
			items[itemKey{section, ""}] = value
		}
	}
	return items, nil
}

// addNamedItems adds the items of a list. It reports whether all items have names; if not, it may have added some.
func addNamedItems(items map[itemKey]json.RawMessage, section string, list []json.RawMessage) bool {
	for _, element := range list {
		var named struct{ Name string }
		if json.Unmarshal(element, &named) != nil || named.Name == "" {
			return false
		}
		items[itemKey{section, named.Name}] = element
	}
	return true
}

// unionOfKeys returns the keys of both maps, sorted.
func unionOfKeys(a, b map[itemKey]json.RawMessage) []itemKey {
	all := maps.Clone(a)
	maps.Copy(all, b)
	return slices.SortedFunc(maps.Keys(all), func(x, y itemKey) int {
		if x.section != y.section {
			return bytes.Compare([]byte(x.section), []byte(y.section))
		}
		return bytes.Compare([]byte(x.name), []byte(y.name))
	})
}

// compareItem returns the change of an item, and whether there is one. before or after is nil if the item is missing there.
func compareItem(key itemKey, before, after json.RawMessage) (Change, bool) {
	change := Change{Section: key.section, Name: key.name, Before: before, After: after}
	switch {
	case before == nil:
		change.Kind = Added
	case after == nil:
		change.Kind = Removed
	case equalJSON(before, after):
		return Change{}, false
	default:
		change.Kind = Changed
		change.Fields = compareFields(before, after)
	}
	return change, true
}

// equalJSON reports whether two values are equal except for white space and the order of fields. Numbers are equal if
// their digits are: 1 and 1.0 differ.
func equalJSON(a, b json.RawMessage) bool { return bytes.Equal(canonical(a), canonical(b)) }

// canonical returns a JSON value without white space and with sorted fields; value itself if it can't be parsed.
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

// compareFields returns the fields that differ between two objects, or nil if the values aren't objects.
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
		if !equalJSON(a, b) {
			fields = append(fields, Field{Name: name, Before: a, After: b})
		}
	}
	return fields
}

// orNull returns the value, or the JSON value null if it is missing.
func orNull(value json.RawMessage) json.RawMessage {
	if value == nil {
		return json.RawMessage("null")
	}
	return value
}

// Text writes the difference as text for operators, in a single write. Errors of w are ignored, as for all output of
// commands.
func (d *Difference) Text(w io.Writer) {
	_, _ = io.WriteString(w, d.text())
}

// text returns the output of Text: a line for the versions, followed by the changes.
func (d *Difference) text() string {
	if len(d.Changes) == 0 && d.From == d.To {
		return fmt.Sprintf("version %d: nothing changes\n", d.From)
	}
	var text strings.Builder
	fmt.Fprintf(&text, "version %d to %d", d.From, d.To)
	if d.To <= d.From {
		text.WriteString(", which must be raised before it can be applied")
	}
	if len(d.Changes) == 0 {
		text.WriteString(": nothing else changes")
	}
	text.WriteString("\n")
	for i := range d.Changes {
		d.Changes[i].writeText(&text)
	}
	return text.String()
}

// writeText writes a change as a line that begins with +, - or ~, followed by a line for each changed field.
func (c *Change) writeText(text *strings.Builder) {
	title := c.Section
	if c.Name != "" {
		title += " " + c.Name
	}
	switch {
	case c.Kind == Added:
		fmt.Fprintf(text, "+ %s  %s\n", title, canonical(c.After))
	case c.Kind == Removed:
		fmt.Fprintf(text, "- %s  %s\n", title, canonical(c.Before))
	case len(c.Fields) == 0:
		fmt.Fprintf(text, "~ %s  %s -> %s\n", title, canonical(c.Before), canonical(c.After))
	default:
		fmt.Fprintf(text, "~ %s\n", title)
		for _, field := range c.Fields {
			fmt.Fprintf(text, "    %s: %s -> %s\n", field.Name, canonical(field.Before), canonical(field.After))
		}
	}
}
