package testcopy

import (
	"fmt"
	"reflect"
	"unsafe"
)

// comparison compares an object graph with its copy.
type comparison struct {
	// copies holds the copy of each pointer that was met.
	copies map[unsafe.Pointer]unsafe.Pointer
	// later holds the comparisons of maps whose keys are pointers; their keys are known
	// once all else has been compared.
	later    []func()
	problems []string
	// skip says which fields are left out.
	skip func(field string) bool
}

// Compare returns what is wrong with a copy of the object to which original points: what it shares with the
// original, and where it differs. Fields that skip names, as TYPE.FIELD, are left out.
func Compare(name string, original, copied any, skip func(field string) bool) []string {
	c := &comparison{copies: make(map[unsafe.Pointer]unsafe.Pointer), skip: skip}
	c.compare(name, reflect.ValueOf(original), reflect.ValueOf(copied))
	for len(c.later) > 0 {
		next := c.later[0]
		c.later = c.later[1:]
		next()
	}
	return c.problems
}

func (c *comparison) report(path, text string) {
	if len(c.problems) < 20 {
		c.problems = append(c.problems, path+": "+text)
	}
}

func (c *comparison) compare(path string, a, b reflect.Value) {
	switch a.Kind() {
	case reflect.Pointer, reflect.Map, reflect.Slice:
		if a.IsNil() || b.IsNil() {
			if a.IsNil() != b.IsNil() {
				c.report(path, "nil in only one of the two")
			}
			return
		}
		c.compareReferences(path, a, b)
	case reflect.Struct:
		for i := range a.NumField() {
			name := a.Type().String() + "." + a.Type().Field(i).Name
			if !c.skip(name) {
				c.compare(path+" > "+name, a.Field(i), b.Field(i))
			}
		}
	case reflect.Array:
		for i := range a.Len() {
			c.compare(path, a.Index(i), b.Index(i))
		}
	case reflect.Interface, reflect.Func, reflect.Chan, reflect.UnsafePointer:
		c.report(path, "can't be checked: a "+a.Kind().String())
	default:
		if !a.Equal(b) {
			c.report(path, fmt.Sprintf("%v, copied as %v", a, b))
		}
	}
}

// IsShared is the report of an object that a copy shares with the original.
const IsShared = "shared with the original: copy it in copy.go"

func (c *comparison) compareReferences(path string, a, b reflect.Value) {
	switch a.Kind() {
	case reflect.Pointer:
		if a.UnsafePointer() == b.UnsafePointer() && a.Type().Elem().Size() > 0 {
			c.report(path, IsShared)
			return
		}
		if known, ok := c.copies[a.UnsafePointer()]; ok {
			if known != b.UnsafePointer() {
				c.report(path, "copied more than once")
			}
			return
		}
		c.copies[a.UnsafePointer()] = b.UnsafePointer()
		c.compare(path, a.Elem(), b.Elem())
	case reflect.Slice:
		if a.Cap() > 0 && a.UnsafePointer() == b.UnsafePointer() && b.Cap() > 0 {
			c.report(path, IsShared)
			return
		}
		if a.Len() != b.Len() {
			c.report(path, fmt.Sprintf("length %d, copied as %d", a.Len(), b.Len()))
			return
		}
		for i := range a.Len() {
			c.compare(path, a.Index(i), b.Index(i))
		}
	case reflect.Map:
		if a.UnsafePointer() == b.UnsafePointer() {
			c.report(path, IsShared)
			return
		}
		if a.Type().Key().Kind() != reflect.Pointer && holdsPointers(a.Type().Key()) {
			c.report(path, "can't be checked: keys that hold pointers")
			return
		}
		if a.Type().Key().Kind() == reflect.Pointer {
			c.later = append(c.later, func() { c.compareMaps(path, a, b) })
			return
		}
		c.compareMaps(path, a, b)
	}
}

// holdsPointers reports whether values of a type that can be a map's key may hold pointers.
func holdsPointers(t reflect.Type) bool {
	switch t.Kind() {
	case reflect.Struct:
		for i := range t.NumField() {
			if holdsPointers(t.Field(i).Type) {
				return true
			}
		}
		return false
	case reflect.Array:
		return holdsPointers(t.Elem())
	case reflect.Pointer, reflect.Interface, reflect.Chan, reflect.UnsafePointer:
		return true
	default:
		return false
	}
}

// compareMaps compares two maps. Keys that are pointers to objects which are reachable
// by no other way are only looked up in the copy, where they must not be.
func (c *comparison) compareMaps(path string, a, b reflect.Value) {
	if a.Len() != b.Len() {
		c.report(path, fmt.Sprintf("length %d, copied as %d", a.Len(), b.Len()))
		return
	}
	for it := a.MapRange(); it.Next(); {
		key := it.Key()
		if key.Kind() == reflect.Pointer {
			if b.MapIndex(key).IsValid() {
				c.report(path, "key "+IsShared)
				return
			}
			known, ok := c.copies[key.UnsafePointer()]
			if !ok {
				continue
			}
			key = reflect.NewAt(key.Type().Elem(), known)
		}
		value := b.MapIndex(key)
		if !value.IsValid() {
			c.report(path, "a key is missing")
			return
		}
		c.compare(path, it.Value(), value)
	}
}
