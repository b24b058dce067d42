package configuration

import (
	"bytes"
	"encoding/json"
	"slices"
	"strconv"

	"ospreypond/internal/cluster/protocol"
)

// difference returns an update that leads from one document to the next if the body of the update is at most half as long
// as the body of the replacement; else it returns the replacement. Followers that apply the update have the same items as
// the owner, but possibly in another order.
func difference(before, next *Document, replacement Command) Command {
	if !sameSections(before, next) {
		return replacement
	}
	var upserts, removals []byte
	for i := range next.sections {
		present, changed := before.sectionNamed(next.sections[i].name), &next.sections[i]
		upserts = appendUpserts(upserts, present, changed)
		removals = appendRemovals(removals, present, changed)
	}
	body := append([]byte(`{"version":`), strconv.FormatUint(next.version, 10)...)
	body = append(append(append(body, `,"upsert":{`...), upserts...), '}')
	body = append(append(append(body, `,"remove":{`...), removals...), '}', '}')
	if len(body) > len(replacement.Body)/2 {
		return replacement
	}
	return Command{Kind: protocol.ConfigurationUpdate, Base: replacement.Base, Body: body}
}

// sameSections reports whether both documents have sections of the same names, and each is a list in both or in neither. No
// update can remove a section, or make a list of another value item by item.
func sameSections(a, b *Document) bool {
	if len(a.sections) != len(b.sections) {
		return false
	}
	return !slices.ContainsFunc(b.sections, func(s section) bool {
		other := a.sectionNamed(s.name)
		return other == nil || other.isList != s.isList
	})
}

// appendUpserts appends the member of `upsert` for one section: the new and changed items of a list, or the changed value
// of another section. It leaves body as it is if the section has no changes. Unchanged items are the same pointers in
// both documents.
func appendUpserts(body []byte, before, next *section) []byte {
	if !next.isList {
		if bytes.Equal(before.raw, next.raw) {
			return body
		}
		return append(appendKey(body, next.name), next.raw...)
	}
	var items []byte
	for _, member := range next.list.items {
		if before.list.get(member.name) != member {
			items = append(appendComma(items), member.raw...)
		}
	}
	if len(items) == 0 {
		return body
	}
	return append(append(append(appendKey(body, next.name), '['), items...), ']')
}

// appendRemovals appends the member of `remove` for one section: the names of the items that exist only in before, if
// any.
func appendRemovals(body []byte, before, next *section) []byte {
	var names []string
	for _, member := range before.list.items {
		if next.list.get(member.name) == nil {
			names = append(names, member.name)
		}
	}
	if len(names) == 0 {
		return body
	}
	list, _ := json.Marshal(names) // strings can always be encoded
	return append(appendKey(body, next.name), list...)
}

// appendKey appends the key of the next member of an object, and the colon after it.
func appendKey(body []byte, name string) []byte {
	key, _ := json.Marshal(name)
	return append(append(appendComma(body), key...), ':')
}

// appendComma appends a comma unless body is empty, that is unless the next member or element is the first.
func appendComma(body []byte) []byte {
	if len(body) == 0 {
		return body
	}
	return append(body, ',')
}
