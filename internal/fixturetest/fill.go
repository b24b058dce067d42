package fixturetest

import (
	"fmt"
	"reflect"
)

const (
	elementsPerList = 2    // number of elements of each slice and map
	firstNumber     = 1000 // integers of more than 8 bits are greater than this
	byteValues      = 255  // number of values of a byte other than 0
)

// Fill sets every exported field of the value that pointer points to, nested ones included, to a value that is not zero. The
// values are distinct, except that all bools are true and the values of bytes repeat.
func Fill(pointer any) {
	var f filler
	f.fill(reflect.ValueOf(pointer).Elem())
}

// filler fills values and counts the values that it has set.
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
		v.Set(reflect.MakeSlice(v.Type(), elementsPerList, elementsPerList))
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
	for range elementsPerList {
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
		number := 1 + f.next()%byteValues
		v.Set(reflect.ValueOf(number).Convert(v.Type()))
	case reflect.Int, reflect.Int16, reflect.Int32, reflect.Int64,
		reflect.Uint, reflect.Uint16, reflect.Uint32, reflect.Uint64:
		v.Set(reflect.ValueOf(firstNumber + f.next()).Convert(v.Type()))
	case reflect.Float32, reflect.Float64:
		v.SetFloat(float64(f.next()) + 0.5)
	case reflect.String:
		v.SetString(fmt.Sprintf("text %d", f.next()))
	default:
		panic(fmt.Sprintf("fixturetest: Fill does not support type %s", v.Type()))
	}
}
