package configuration

import (
	"bytes"
	"encoding/json"
	"slices"
	"unicode/utf8"
)

// parser parses the sections of one command. An item that has the same bytes as one of the previous document is taken over
// from there, not made a second time: difference and inheritServicesOf recognise unchanged items by their pointers.
type parser struct {
	previous *Document
}

// CheckSyntax returns an error of kind failure.Invalid unless body is exactly one JSON object in UTF-8. The check needs no
// current version, so that a command can be rejected before it gets into the log.
func CheckSyntax(body []byte) error {
	if !utf8.Valid(body) || !json.Valid(body) {
		return invalidf("the body is not exactly one JSON value")
	}
	if start := skipSpace(body, 0); body[start] != '{' {
		return invalidf("the body is not a JSON object")
	}
	return nil
}

// parseFields returns the top-level fields of a command's body without the version, and the version. It fails if two fields
// have the same key, or if there is no version.
func parseFields(body []byte) ([]jsonField, uint64, error) {
	if err := CheckSyntax(body); err != nil {
		return nil, 0, err
	}
	fields, _ := jsonObject(body)
	if err := checkDistinct(fields); err != nil {
		return nil, 0, err
	}
	at := slices.IndexFunc(fields, func(f jsonField) bool { return f.key == "version" })
	if at < 0 {
		return nil, 0, invalidf("there is no version")
	}
	head := &Configuration{}
	if err := parseMessage(slices.Concat([]byte(`{"version":`), fields[at].value, []byte("}")), head); err != nil {
		return nil, 0, invalidf("version: %v", err)
	}
	return slices.Delete(fields, at, at+1), head.Version, nil
}

// checkDistinct returns an error if two fields have the same key.
func checkDistinct(fields []jsonField) error {
	for i := range fields {
		for j := range i {
			if fields[i].key == fields[j].key {
				return invalidf("the field %q appears twice", fields[i].key)
			}
		}
	}
	return nil
}

// parseSection parses a top-level field. `routes` and `services` must be lists; any other field is a list if it is an array
// of objects with distinct names.
func (p parser) parseSection(f jsonField) (section, error) {
	mustBeList := f.key == sectionRoutes || f.key == sectionServices
	elements, isArray := jsonArray(f.value)
	if !isArray && mustBeList {
		return section{}, invalidf("%s is not a list", f.key)
	}
	if !mustBeList && (!isArray || !haveDistinctNames(elements)) {
		return section{name: f.key, raw: f.value}, nil
	}
	items, err := p.parseItems(f.key, elements)
	if err != nil {
		return section{}, err
	}
	made, err := newItemList(f.key, items)
	return section{name: f.key, isList: true, list: made}, err
}

// haveDistinctNames reports whether each element is an object with a name that no other element has.
func haveDistinctNames(elements [][]byte) bool {
	names := make(map[string]bool, len(elements))
	for _, element := range elements {
		name := itemName(element)
		if name == "" || names[name] {
			return false
		}
		names[name] = true
	}
	return true
}

// parseItems parses the elements of the list in a section. Most lists are sent in the order of the previous document. So
// parseItems first compares an element with the item that follows the last match in the previous document, and parses it
// only if the two differ.
func (p parser) parseItems(section string, elements [][]byte) ([]*item, error) {
	before := p.previous.itemsOf(section)
	items := make([]*item, 0, len(elements))
	next := 0 // index in the previous list where the element is expected
	for _, element := range elements {
		if next < len(before.items) && bytes.Equal(before.items[next].raw, element) {
			items = append(items, before.items[next])
			next++
			continue
		}
		member, err := parseItem(section, element)
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

// parseLimits parses the section of the limits; nil, a configuration without that section, means no limits.
func parseLimits(from *section) (*Limits, error) {
	limits := &Limits{}
	if from == nil {
		return limits, nil
	}
	if from.isList {
		return nil, invalidf("limits is a list, not an object")
	}
	if err := parseMessage(from.raw, limits); err != nil {
		return nil, invalidf("limits: %v", err)
	}
	return limits, nil
}
