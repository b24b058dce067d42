package configuration

import (
	"bytes"
	"encoding/json"
	"slices"
	"unicode/utf8"
)

// parser parses the sections of one command. Items that are byte for byte those of the previous document are taken over from
// there unparsed; mostly they come in the same order.
type parser struct {
	previous *Document
}

// CheckSyntax returns an error of kind failure.Invalid unless body is exactly one JSON object. Otherwise it can be rejected
// without knowing the current version.
func CheckSyntax(body []byte) error {
	if !utf8.Valid(body) || !json.Valid(body) {
		return invalidf("the body is not exactly one JSON value")
	}
	if start := skipSpace(body, 0); body[start] != '{' {
		return invalidf("the body is not a JSON object")
	}
	return nil
}

// parseFields returns the fields of a command's body other than the version, and the version. They must be distinct, and
// there must be a version.
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

// parseSection parses a top-level field. An unknown one is a list if it is an array of items with distinct names.
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

// haveDistinctNames reports whether each element is an object with a name, and no two have the same.
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

// parseItems parses the elements of the list with the name section.
func (p parser) parseItems(section string, elements [][]byte) ([]*item, error) {
	before := p.previous.itemsOf(section)
	items := make([]*item, 0, len(elements))
	next := 0 // where the element is likely to be in the previous list
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

// parseLimits parses the limits in a section, which is nil if there is none.
func parseLimits(from *section) (*Limits, error) {
	limits := &Limits{}
	if from == nil {
		return limits, nil
	}
	if from.isList {
		return nil, invalidf("limits is a list")
	}
	if err := parseMessage(from.raw, limits); err != nil {
		return nil, invalidf("limits: %v", err)
	}
	return limits, nil
}
