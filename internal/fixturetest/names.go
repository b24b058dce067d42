package fixturetest

import (
	"go/token"
	"slices"
	"unicode/utf8"
)

// missingNames returns the names of gob fields that earlier has and present has not as often. An earlier program that reads
// what the present one writes would miss them, without an error.
func missingNames(earlier, present []byte) []string {
	left := map[string]int{}
	for _, name := range fieldNames(present) {
		left[name]++
	}
	var missing []string
	for _, name := range fieldNames(earlier) {
		left[name]--
		if left[name] < 0 && !slices.Contains(missing, name) {
			missing = append(missing, name)
		}
	}
	return missing
}

// fieldNames returns the names of fields that gob descriptions of types within data have. A field is described by the
// number 1, the length of its name, the name, the number 1 and the number of its type. So is a type, whose name gob does
// not look at, behind two more numbers. The texts that Fill sets are no names; what else happens to look like one does no
// harm as long as it stays the same.
func fieldNames(data []byte) []string {
	var names []string
	for at := 1; at < len(data); at++ {
		end := at + 1 + int(data[at])
		if data[at-1] != 1 || data[at] == 0 || data[at] >= utf8.RuneSelf || end >= len(data) || data[end] != 1 {
			continue
		}
		if name := string(data[at+1 : end]); token.IsIdentifier(name) && token.IsExported(name) && !isTypeName(data[:at]) {
			names = append(names, name)
		}
	}
	return names
}

// isTypeName reports whether a name that follows data is that of a slice, a struct or a map.
func isTypeName(data []byte) bool {
	const slice, structure, mapping = 2, 3, 4
	if len(data) < 3 || data[len(data)-2] != 1 {
		return false
	}
	kind := data[len(data)-3]
	return kind == slice || kind == structure || kind == mapping
}
