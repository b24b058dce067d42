package fixturetest

import (
	"fmt"
	"reflect"
)

const (
	elements   = 2    // of each list and map
	smallest   = 1000 // first number that is filled in, where the type can represent it
	bytesRange = 255  // numbers that a byte has but 0
)

// Fill sets every exported field of what pointer points to, nested ones included, to a value that is not zero. The
// values are distinct, but for those of bool and of a byte, which come again.
func Fill(pointer any) {
	var f filler
	f.fill(reflect.ValueOf(pointer).Elem())
}

type filler struct{ count int }

func (f *filler) next() int {
	f.count++
	return f.count
}

func (f *filler) fill(v reflect.Value) {
	switch v.Kind() {
	case reflect.Pointer:
		v.Set(reflect.New(v.Type().Elem()))
		f.fill(v.Elem())
	case reflect.Struct:
		for i := range v.NumField() {
			if v.Type().Field(i).IsExported() {
				f.fill(v.Field(i))
			}
		}
	case reflect.Slice:
		if v.Type().Elem().Kind() == reflect.Uint8 {
			v.SetBytes(fmt.Appendf(nil, "data %d", f.next()))
			return
		}
		v.Set(reflect.MakeSlice(v.Type(), elements, elements))
		f.each(v)
	case reflect.Array:
		f.each(v)
	case reflect.Map:
		f.fillMap(v)
	default:
		f.fillScalar(v)
	}
}

func (f *filler) each(v reflect.Value) {
	for i := range v.Len() {
		f.fill(v.Index(i))
	}
}

func (f *filler) fillMap(v reflect.Value) {
	v.Set(reflect.MakeMap(v.Type()))
	for range elements {
		key, value := reflect.New(v.Type().Key()).Elem(), reflect.New(v.Type().Elem()).Elem()
		f.fill(key)
		f.fill(value)
		v.SetMapIndex(key, value)
	}
}

func (f *filler) fillScalar(v reflect.Value) {
	switch v.Kind() {
	case reflect.Bool:
		v.SetBool(true)
	case reflect.Int8, reflect.Uint8:
		number := 1 + f.next()%bytesRange
		v.Set(reflect.ValueOf(number).Convert(v.Type()))
	case reflect.Int, reflect.Int16, reflect.Int32, reflect.Int64,
		reflect.Uint, reflect.Uint16, reflect.Uint32, reflect.Uint64:
		v.Set(reflect.ValueOf(smallest + f.next()).Convert(v.Type()))
	case reflect.Float32, reflect.Float64:
		v.SetFloat(float64(f.next()) + 0.5)
	case reflect.String:
		v.SetString(fmt.Sprintf("text %d", f.next()))
	default:
		panic(fmt.Sprintf("fixturetest: a %s cannot be filled", v.Type()))
	}
}
