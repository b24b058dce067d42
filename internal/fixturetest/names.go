package fixturetest

import (
	"go/token"
	"slices"
	"unicode/utf8"
)

// missingNames returns the names of gob fields that occur more often in earlier than in present. An earlier program that
// reads the data in present would leave these fields zero, without an error.
func missingNames(earlier, present []byte) []string {
	remaining := map[string]int{}
	for _, name := range fieldNames(present) {
		remaining[name]++
	}
	var missing []string
	for _, name := range fieldNames(earlier) {
		remaining[name]--
		if remaining[name] < 0 && !slices.Contains(missing, name) {
			missing = append(missing, name)
		}
	}
	return missing
}

// fieldNames returns the names of the fields in the gob type descriptions within data, by searching for their encoded form:
//   - A field is the number 1, the length of its name, the name, the number 1 and the number of its type.
//   - A type has the same form with two more numbers before it (see isTypeName). fieldNames omits types, because gob does
//     not match types by their names.
//   - The texts that Fill sets are not found, because they are no exported identifiers. Other bytes that look like a field
//     do no harm as long as both encoded forms contain them.
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

// isTypeName reports whether data ends with the start of the description of a slice, a struct or a map, so that the name
// that follows is the name of a type.
func isTypeName(data []byte) bool {
	const slice, structure, mapping = 2, 3, 4
	if len(data) < 3 || data[len(data)-2] != 1 {
		return false
	}
	kind := data[len(data)-3]
	return kind == slice || kind == structure || kind == mapping
}
