package configuration

import (
	"bytes"
	"encoding/json"
)

// field is one member of a JSON object: its key and its value as it was sent.
type field struct {
	key   string
	value []byte
}

// object returns the members of the JSON object in data, in order, or false where it is another value. data is valid
// JSON; the values are parts of it.
func object(data []byte) ([]field, bool) {
	at := skipSpace(data, 0)
	if at >= len(data) || data[at] != '{' {
		return nil, false
	}
	var fields []field
	at = skipSpace(data, at+1)
	for data[at] != '}' {
		end := skipValue(data, at)
		key := text(data[at:end])
		start := skipSpace(data, skipSpace(data, end)+1)
		end = skipValue(data, start)
		fields = append(fields, field{key: key, value: data[start:end]})
		at = skipComma(data, end)
	}
	return fields, true
}

// array returns the elements of the JSON array in data, or false where it is another value. data is valid JSON; the
// elements are parts of it.
func array(data []byte) ([][]byte, bool) {
	at := skipSpace(data, 0)
	if at >= len(data) || data[at] != '[' {
		return nil, false
	}
	elements := [][]byte{}
	at = skipSpace(data, at+1)
	for data[at] != ']' {
		end := skipValue(data, at)
		elements = append(elements, data[at:end])
		at = skipComma(data, end)
	}
	return elements, true
}

// text returns the JSON string in data.
func text(data []byte) string {
	if bytes.IndexByte(data, '\\') < 0 {
		return string(data[1 : len(data)-1])
	}
	var decoded string
	if err := json.Unmarshal(data, &decoded); err != nil {
		return string(data)
	}
	return decoded
}

func skipSpace(data []byte, at int) int {
	for at < len(data) {
		switch data[at] {
		case ' ', '\t', '\n', '\r':
			at++
		default:
			return at
		}
	}
	return at
}

// skipComma returns where the next element or the closing bracket is, after the value that ended at at.
func skipComma(data []byte, at int) int {
	at = skipSpace(data, at)
	if data[at] == ',' {
		at = skipSpace(data, at+1)
	}
	return at
}

// skipValue returns the end of the value that starts at at.
func skipValue(data []byte, at int) int {
	depth := 0
	for at < len(data) {
		switch data[at] {
		case '"':
			at = skipString(data, at)
		case '{', '[':
			depth++
			at++
			continue
		case '}', ']':
			depth--
			at++
		case ',', ':', ' ', '\t', '\n', '\r':
			at++
			continue
		default:
			at = skipScalar(data, at)
		}
		if depth == 0 {
			return at
		}
	}
	return at
}

func skipString(data []byte, at int) int {
	at++
	for at < len(data) {
		switch data[at] {
		case '"':
			return at + 1
		case '\\':
			at += 2
		default:
			at++
		}
	}
	return at
}

// skipScalar passes over a number, true, false or null.
func skipScalar(data []byte, at int) int {
	for at < len(data) {
		switch data[at] {
		case ',', ':', '}', ']', ' ', '\t', '\n', '\r':
			return at
		}
		at++
	}
	return at
}
