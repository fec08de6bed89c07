package testcopy

import (
	"fmt"
	"reflect"
	"unsafe"
)

// Filler sets all fields reachable from a value, with one object of each type, so that no
// pointer, map or slice is nil.
type Filler struct {
	// Objects holds the objects by their types.
	Objects map[reflect.Type]reflect.Value
	number  int
}

// Fill sets all fields reachable from a settable value.
func (f *Filler) Fill(v reflect.Value) {
	f.number = f.number%100 + 1
	switch v.Kind() {
	case reflect.Pointer:
		o, ok := f.Objects[v.Type()]
		if !ok {
			o = reflect.New(v.Type().Elem())
			f.Objects[v.Type()] = o
			f.Fill(o.Elem())
		}
		v.Set(o)
	case reflect.Struct:
		for i := range v.NumField() {
			f.Fill(Writable(v.Field(i)))
		}
	case reflect.Slice:
		v.Set(reflect.MakeSlice(v.Type(), 1, 2))
		f.Fill(v.Index(0))
	case reflect.Array:
		for i := range v.Len() {
			f.Fill(v.Index(i))
		}
	case reflect.Map:
		key, value := reflect.New(v.Type().Key()).Elem(), reflect.New(v.Type().Elem()).Elem()
		f.Fill(key)
		f.Fill(value)
		m := reflect.MakeMap(v.Type())
		m.SetMapIndex(key, value)
		v.Set(m)
	case reflect.Bool:
		v.SetBool(true)
	case reflect.String:
		v.SetString(fmt.Sprint(f.number))
	case reflect.Float32, reflect.Float64:
		v.SetFloat(float64(f.number))
	default:
		if v.CanInt() {
			v.SetInt(int64(f.number))
		} else if v.CanUint() {
			v.SetUint(uint64(f.number))
		}
	}
}

// Writable returns v without the restrictions on unexported fields.
func Writable(v reflect.Value) reflect.Value {
	return reflect.NewAt(v.Type(), unsafe.Pointer(v.UnsafeAddr())).Elem()
}
