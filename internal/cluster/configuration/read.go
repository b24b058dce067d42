package configuration

import (
	"bytes"
	"encoding/json"
	"slices"
	"unicode/utf8"
)

// reader reads the items of one order. Items that are byte for byte those of the document before it are taken over from
// there unread; they mostly come in the same order.
type reader struct {
	known *Document
}

// CheckSyntax says whether body is one whole JSON object. What is not can be refused without knowing the version in force.
func CheckSyntax(body []byte) error {
	if !utf8.Valid(body) || !json.Valid(body) {
		return invalidf("the body is not one whole JSON value")
	}
	if start := skipSpace(body, 0); body[start] != '{' {
		return invalidf("the body is not a JSON object")
	}
	return nil
}

// readFields returns the members of the order but the version, and the version (0 where there is none).
func readFields(body []byte) ([]field, uint64, error) {
	if err := CheckSyntax(body); err != nil {
		return nil, 0, err
	}
	fields, _ := object(body)
	if err := distinct(fields); err != nil {
		return nil, 0, err
	}
	at := slices.IndexFunc(fields, func(f field) bool { return f.key == "version" })
	if at < 0 {
		return nil, 0, invalidf("there is no version")
	}
	head := &Configuration{}
	if err := readMessage(slices.Concat([]byte(`{"version":`), fields[at].value, []byte("}")), head); err != nil {
		return nil, 0, invalidf("version: %v", err)
	}
	return slices.Delete(fields, at, at+1), head.Version, nil
}

func distinct(fields []field) error {
	for i := range fields {
		for j := range i {
			if fields[i].key == fields[j].key {
				return invalidf("the field %q comes twice", fields[i].key)
			}
		}
	}
	return nil
}

// section reads one top-level field.
func (r reader) section(f field) (section, error) {
	mustBeList := f.key == sectionRoutes || f.key == sectionServices
	elements, isArray := array(f.value)
	if !isArray && mustBeList {
		return section{}, invalidf("%s is no list", f.key)
	}
	if !mustBeList && (!isArray || !named(elements)) {
		return section{name: f.key, raw: f.value}, nil
	}
	items, err := r.items(f.key, elements)
	if err != nil {
		return section{}, err
	}
	made, err := newList(f.key, items)
	return section{name: f.key, isList: true, list: made}, err
}

// named says whether each element is an object with a name, and no two have the same.
func named(elements [][]byte) bool {
	names := make(map[string]bool, len(elements))
	for _, element := range elements {
		name := nameOf(element)
		if name == "" || names[name] {
			return false
		}
		names[name] = true
	}
	return true
}

func (r reader) items(section string, elements [][]byte) ([]*item, error) {
	before := r.known.list(section)
	items := make([]*item, 0, len(elements))
	next := 0 // where the element is likely to be in the list before
	for _, element := range elements {
		if next < len(before.items) && bytes.Equal(before.items[next].raw, element) {
			items = append(items, before.items[next])
			next++
			continue
		}
		member, err := readItem(section, element)
		if err != nil {
			return nil, err
		}
		if at, found := before.find(member.name); found {
			next = at + 1
			if bytes.Equal(before.items[at].raw, element) {
				member = before.items[at]
			}
		}
		items = append(items, member)
	}
	return items, nil
}

// readLimits reads the limits in a section, which may be missing.
func readLimits(from *section) (*Limits, error) {
	limits := &Limits{}
	if from == nil {
		return limits, nil
	}
	if from.isList {
		return nil, invalidf("limits is a list")
	}
	if err := readMessage(from.raw, limits); err != nil {
		return nil, invalidf("limits: %v", err)
	}
	return limits, nil
}
