package configuration

import (
	"bytes"
	"encoding/json"
)

// jsonField is a member of a JSON object: the decoded key, and the bytes of the value.
type jsonField struct {
	key   string
	value []byte
}

// jsonObject returns the members of a JSON object in the order of the text. ok is false if data is another kind of value.
// data must be valid JSON, since jsonObject checks no bounds. The members' values are slices of data.
func jsonObject(data []byte) (fields []jsonField, ok bool) {
	at := skipSpace(data, 0)
	if at >= len(data) || data[at] != '{' {
		return nil, false
	}
	at = skipSpace(data, at+1)
	for data[at] != '}' {
		end := skipValue(data, at)
		key := jsonString(data[at:end])
		start := skipSpace(data, skipSpace(data, end)+1)
		end = skipValue(data, start)
		fields = append(fields, jsonField{key: key, value: data[start:end]})
		at = skipComma(data, end)
	}
	return fields, true
}

// jsonArray returns the elements of a JSON array. ok is false if data is another kind of value. data must be valid JSON,
// since jsonArray checks no bounds. The elements are slices of data.
func jsonArray(data []byte) (elements [][]byte, ok bool) {
	at := skipSpace(data, 0)
	if at >= len(data) || data[at] != '[' {
		return nil, false
	}
	elements = [][]byte{}
	at = skipSpace(data, at+1)
	for data[at] != ']' {
		end := skipValue(data, at)
		elements = append(elements, data[at:end])
		at = skipComma(data, end)
	}
	return elements, true
}

// jsonString decodes a JSON string; data includes its quotation marks.
func jsonString(data []byte) string {
	if bytes.IndexByte(data, '\\') < 0 {
		return string(data[1 : len(data)-1])
	}
	var decoded string
	if err := json.Unmarshal(data, &decoded); err != nil {
		return string(data)
	}
	return decoded
}

// skipSpace returns the index of the first byte at or after at that is not white space; len(data) if there is none.
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

// skipComma returns the index of the next element or of the closing bracket. at is the index after a value.
func skipComma(data []byte, at int) int {
	at = skipSpace(data, at)
	if data[at] == ',' {
		at = skipSpace(data, at+1)
	}
	return at
}

// skipValue returns the index after the value that starts at at.
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

// skipString returns the index after the string that starts at at.
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

// skipScalar returns the index after the number, true, false or null that starts at at.
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
