package configuration

import (
	"bytes"
	"encoding/json"
	"slices"
	"strconv"

	"ospreypond/internal/cluster/protocol"
)

// difference returns an update from one document to the next if that is much shorter than the replacement that led there,
// else that replacement. Followers that apply it serve the same; only the order of items may differ.
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

// sameSections reports whether both documents have the same sections, and the same ones of them are lists.
func sameSections(a, b *Document) bool {
	if len(a.sections) != len(b.sections) {
		return false
	}
	return !slices.ContainsFunc(b.sections, func(s section) bool {
		other := a.sectionNamed(s.name)
		return other == nil || other.isList != s.isList
	})
}

// appendUpserts appends what an update must upsert in one section.
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

// appendRemovals appends the names that an update must remove from one section.
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

// appendKey appends the key of the next member of an object.
func appendKey(body []byte, name string) []byte {
	key, _ := json.Marshal(name)
	return append(append(appendComma(body), key...), ':')
}

// appendComma separates what is appended next from what is already there.
func appendComma(body []byte) []byte {
	if len(body) == 0 {
		return body
	}
	return append(body, ',')
}
