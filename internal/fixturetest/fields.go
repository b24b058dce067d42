package fixturetest

import (
	"cmp"
	"fmt"
	"reflect"
	"slices"
	"strconv"
)

// Field is one scalar field of a value: its path, which consists of the current Go names, and its value as text.
type Field struct {
	Path  string
	Value string
}

// String returns the field in the form of a line of a fixture.
func (f Field) String() string { return f.Path + " = " + f.Value }

// Fields lists the exported scalar fields of value, nested ones included, in the order of their declaration. It leaves out
// fields that are zero or empty: a field that was added to a type later is zero in data that was written before, and must
// not appear as a difference.
func Fields(value any) []Field {
	var l lister
	l.add("", reflect.ValueOf(value))
	return l.fields
}

// lister collects fields.
type lister struct{ fields []Field }

func (l *lister) put(path, value string) {
	l.fields = append(l.fields, Field{Path: path, Value: value})
}

// add adds the scalar fields within v, which is at path, unless v is zero.
func (l *lister) add(path string, v reflect.Value) {
	if !v.IsValid() || v.IsZero() {
		return
	}
	switch v.Kind() {
	case reflect.Pointer, reflect.Interface:
		l.add(path, v.Elem())
	case reflect.Struct:
		for i := range v.NumField() {
			if v.Type().Field(i).IsExported() {
				l.add(joinPath(path, v.Type().Field(i).Name), v.Field(i))
			}
		}
	case reflect.Slice, reflect.Array:
		if v.Type().Elem().Kind() == reflect.Uint8 {
			l.put(path, strconv.Quote(string(bytesOf(v))))
			return
		}
		for i := range v.Len() {
			l.addElement(fmt.Sprintf("%s[%d]", path, i), v.Index(i))
		}
	case reflect.Map:
		for _, key := range sortedKeys(v) {
			l.addElement(fmt.Sprintf("%s[%v]", path, key), key)
			l.addElement(fmt.Sprintf("%s[%v]", path, key), v.MapIndex(key))
		}
	default:
		l.put(path, scalar(v))
	}
}

// addElement adds an element of a list or a map. Unlike add it lists an element that is zero too, so that lists of different
// lengths differ.
func (l *lister) addElement(path string, v reflect.Value) {
	before := len(l.fields)
	l.add(path, v)
	if len(l.fields) == before {
		l.put(path, "zero")
	}
}

// joinPath appends the name of a field to the path of its struct.
func joinPath(path, name string) string {
	if path == "" {
		return name
	}
	return path + "." + name
}

// bytesOf returns the bytes of a slice or an array of bytes.
func bytesOf(v reflect.Value) []byte {
	bytes := make([]byte, v.Len())
	for i := range bytes {
		bytes[i] = byte(v.Index(i).Uint())
	}
	return bytes
}

// sortedKeys returns the keys of a map in the order of their texts, so that the order of Fields is always the same.
func sortedKeys(v reflect.Value) []reflect.Value {
	keys := v.MapKeys()
	slices.SortFunc(keys, func(a, b reflect.Value) int { return cmp.Compare(scalar(a), scalar(b)) })
	return keys
}

// scalar returns the text of a scalar value. It formats the value by its kind alone. It never calls a String method, because
// a later version of the type may change the result of that method.
func scalar(v reflect.Value) string {
	switch v.Kind() {
	case reflect.Bool:
		return strconv.FormatBool(v.Bool())
	case reflect.Int, reflect.Int8, reflect.Int16, reflect.Int32, reflect.Int64:
		return strconv.FormatInt(v.Int(), 10)
	case reflect.Uint, reflect.Uint8, reflect.Uint16, reflect.Uint32, reflect.Uint64:
		return strconv.FormatUint(v.Uint(), 10)
	case reflect.Float32, reflect.Float64:
		return strconv.FormatFloat(v.Float(), 'g', -1, 64)
	case reflect.String:
		return strconv.Quote(v.String())
	default:
		panic(fmt.Sprintf("fixturetest: Fields does not support type %s", v.Type()))
	}
}
