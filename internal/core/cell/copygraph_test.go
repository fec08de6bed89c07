package cell

import (
	"fmt"
	"reflect"
	"unsafe"
)

// sharedFields are the fields that a copy shares with the original on purpose, with the
// reason why that is safe. All other pointers, maps and slices must be copied.
var sharedFields = map[string]string{
	"cell.Core.policy":            "a policy is replaced, never modified",
	"cell.accountShares.policy":   "a policy is replaced, never modified",
	"cell.jobEntry.job":           "a job is never modified",
	"interference.Run.Present":    "exposures of an ended run are never modified",
	"interference.Sample.Present": "exposures of a sample are never modified",
	"cell.taskGroup.step":         "part of a job",
	"external.Worker.Labels":      "an entry of the list of workers is replaced, never modified",
	"cell.missingJobs.progress":   "read only; what is taken from it is clipped, so that appending copies it",
}

// droppedFields are the fields that a copy does not have.
var droppedFields = map[string]string{
	"cell.Core.actions": "they belong to the last step of the original",
	"cell.Core.trace":   "it belongs to an Explainer",
}

// filler sets all fields reachable from a value, with one object of each type, so that no
// pointer, map or slice is nil.
type filler struct {
	objects map[reflect.Type]reflect.Value
	number  int
}

func (f *filler) fill(v reflect.Value) {
	f.number = f.number%100 + 1
	switch v.Kind() {
	case reflect.Pointer:
		o, ok := f.objects[v.Type()]
		if !ok {
			o = reflect.New(v.Type().Elem())
			f.objects[v.Type()] = o
			f.fill(o.Elem())
		}
		v.Set(o)
	case reflect.Struct:
		for i := range v.NumField() {
			f.fill(writable(v.Field(i)))
		}
	case reflect.Slice:
		v.Set(reflect.MakeSlice(v.Type(), 1, 2))
		f.fill(v.Index(0))
	case reflect.Array:
		for i := range v.Len() {
			f.fill(v.Index(i))
		}
	case reflect.Map:
		key, value := reflect.New(v.Type().Key()).Elem(), reflect.New(v.Type().Elem()).Elem()
		f.fill(key)
		f.fill(value)
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

// writable returns v without the restrictions on unexported fields.
func writable(v reflect.Value) reflect.Value {
	return reflect.NewAt(v.Type(), unsafe.Pointer(v.UnsafeAddr())).Elem()
}

// comparison compares an object graph with its copy.
type comparison struct {
	// copies holds the copy of each pointer that was met.
	copies map[unsafe.Pointer]unsafe.Pointer
	// later holds the comparisons of maps whose keys are pointers; their keys are known
	// once all else has been compared.
	later    []func()
	problems []string
}

// compareCopy returns what is wrong with a copy of a core: what it shares with the
// original, and where it differs.
func compareCopy(original, copied *Core) []string {
	c := &comparison{copies: make(map[unsafe.Pointer]unsafe.Pointer)}
	c.compare("core", reflect.ValueOf(original), reflect.ValueOf(copied))
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
			if sharedFields[name] == "" && droppedFields[name] == "" {
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

const isShared = "shared with the original: copy it in copy.go"

func (c *comparison) compareReferences(path string, a, b reflect.Value) {
	switch a.Kind() {
	case reflect.Pointer:
		if a.UnsafePointer() == b.UnsafePointer() && a.Type().Elem().Size() > 0 {
			c.report(path, isShared)
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
			c.report(path, isShared)
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
			c.report(path, isShared)
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
				c.report(path, "key "+isShared)
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
