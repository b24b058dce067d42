package fixturetest

import (
	"cmp"
	"fmt"
	"reflect"
	"slices"
	"strconv"
)

// Field is one scalar field of a value: its path, with the present names, and its value.
type Field struct {
	Path  string
	Value string
}

// String returns the field as a line of a fixture.
func (f Field) String() string { return f.Path + " = " + f.Value }

// Fields lists the exported scalar fields of value, nested ones included, in the order of their declaration. Fields that are zero or empty are
// left out, since what was added to a type later is zero in what was written before.
func Fields(value any) []Field {
	var l lister
	l.add("", reflect.ValueOf(value))
	return l.fields
}

type lister struct{ fields []Field }

func (l *lister) put(path, value string) {
	l.fields = append(l.fields, Field{Path: path, Value: value})
}

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
				l.add(join(path, v.Type().Field(i).Name), v.Field(i))
			}
		}
	case reflect.Slice, reflect.Array:
		if v.Type().Elem().Kind() == reflect.Uint8 {
			l.put(path, strconv.Quote(string(bytesOf(v))))
			return
		}
		for i := range v.Len() {
			l.element(fmt.Sprintf("%s[%d]", path, i), v.Index(i))
		}
	case reflect.Map:
		for _, key := range sortedKeys(v) {
			l.element(fmt.Sprintf("%s[%v]", path, key), key)
			l.element(fmt.Sprintf("%s[%v]", path, key), v.MapIndex(key))
		}
	default:
		l.put(path, scalar(v))
	}
}

// element adds an element of a list or a map. A zero element is listed too, so that their number shows.
func (l *lister) element(path string, v reflect.Value) {
	before := len(l.fields)
	l.add(path, v)
	if len(l.fields) == before {
		l.put(path, "zero")
	}
}

func join(path, name string) string {
	if path == "" {
		return name
	}
	return path + "." + name
}

func bytesOf(v reflect.Value) []byte {
	bytes := make([]byte, v.Len())
	for i := range bytes {
		bytes[i] = byte(v.Index(i).Uint())
	}
	return bytes
}

func sortedKeys(v reflect.Value) []reflect.Value {
	keys := v.MapKeys()
	slices.SortFunc(keys, func(a, b reflect.Value) int { return cmp.Compare(scalar(a), scalar(b)) })
	return keys
}

// scalar returns a single value's text. It asks for the kind alone: a type with a String method of its own may change
// what that says.
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
		panic(fmt.Sprintf("fixturetest: a %s cannot be listed", v.Type()))
	}
}
