package configuration

import (
	"bytes"
	"encoding/json"
	"slices"
	"strconv"

	"ospreypond/internal/cluster/protocol"
)

// difference returns an update that makes of before a document which serves as next does, if it is much shorter than
// the replacement that led there; else that replacement.
func difference(before, next *Document, replacement Command) Command {
	if !sameSections(before, next) {
		return replacement
	}
	var upserts, removals []byte
	for i := range next.sections {
		present, changed := before.section(next.sections[i].name), &next.sections[i]
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

// sameSections says whether both documents have the same sections, of the same sorts.
func sameSections(a, b *Document) bool {
	if len(a.sections) != len(b.sections) {
		return false
	}
	return !slices.ContainsFunc(b.sections, func(s section) bool {
		other := a.section(s.name)
		return other == nil || other.isList != s.isList
	})
}

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
	list, _ := json.Marshal(names) // strings can always be written
	return append(appendKey(body, next.name), list...)
}

// appendKey starts a member of an object.
func appendKey(body []byte, name string) []byte {
	key, _ := json.Marshal(name)
	return append(append(appendComma(body), key...), ':')
}

// appendComma parts what is appended next from what stands there.
func appendComma(body []byte) []byte {
	if len(body) == 0 {
		return body
	}
	return append(body, ',')
}
