package config

import (
	"encoding"
	"reflect"
	"strings"
	"time"

	"github.com/goccy/go-yaml/ast"
)

var (
	textType = reflect.TypeFor[encoding.TextUnmarshaler]()
	timeType = reflect.TypeFor[time.Time]()
)

// checkSchema returns a fault for each part of the text that does not match the
// type Document: unknown keys, duplicate keys and values of another type.
func checkSchema(root ast.Node) []*FieldError {
	return walkSchema("", root, reflect.TypeFor[Document]())
}

func walkSchema(path string, n ast.Node, t reflect.Type) []*FieldError {
	for t.Kind() == reflect.Pointer {
		t = t.Elem()
	}
	if n.Type() == ast.NullType {
		return nil
	}
	if reflect.PointerTo(t).Implements(textType) {
		return checkText(path, n, t)
	}
	switch t.Kind() {
	case reflect.Struct:
		return walkStruct(path, n, t)
	case reflect.Slice:
		return walkSlice(path, n, t)
	}
	return checkScalar(path, n, t)
}

func walkStruct(path string, n ast.Node, t reflect.Type) []*FieldError {
	keys, ok := pairs(n)
	if !ok {
		return fault(path, n, "want a mapping")
	}
	var out []*FieldError
	seen := make(map[string]bool, len(keys))
	for _, v := range keys {
		field := join(path, keyOf(v))
		ft, ok := fieldType(t, keyOf(v))
		switch {
		case !ok:
			out = append(out, fault(field, v.Key, "unknown field")...)
		case seen[field]:
			out = append(out, fault(field, v.Key, "is written twice")...)
		default:
			out = append(out, walkSchema(field, v.Value, ft)...)
		}
		seen[field] = true
	}
	return out
}

func walkSlice(path string, n ast.Node, t reflect.Type) []*FieldError {
	seq, ok := n.(*ast.SequenceNode)
	if !ok {
		return fault(path, n, "want a list")
	}
	var out []*FieldError
	for i, v := range seq.Values {
		out = append(out, walkSchema(index(path, i), v, t.Elem())...)
	}
	return out
}

// checkText checks a value that is written as text, such as a duration or a time.
func checkText(path string, n ast.Node, t reflect.Type) []*FieldError {
	if !isScalar(n) {
		return fault(path, n, "want text")
	}
	value := reflect.New(t).Interface().(encoding.TextUnmarshaler)
	if err := value.UnmarshalText([]byte(n.GetToken().Value)); err == nil {
		return nil
	}
	if t == timeType {
		return fault(path, n, "want a time such as 2006-01-02T15:04:05Z")
	}
	return fault(path, n, "want a duration such as 1m30s")
}

func checkScalar(path string, n ast.Node, t reflect.Type) []*FieldError {
	switch t.Kind() {
	case reflect.String:
		if !isScalar(n) {
			return fault(path, n, "want text")
		}
	case reflect.Bool:
		if n.Type() != ast.BoolType {
			return fault(path, n, "want true or false")
		}
	case reflect.Float64:
		if n.Type() != ast.FloatType && n.Type() != ast.IntegerType {
			return fault(path, n, "want a number")
		}
	case reflect.Int:
		if n.Type() != ast.IntegerType {
			return fault(path, n, "want a whole number")
		}
	}
	return nil
}

func isScalar(n ast.Node) bool {
	_, ok := n.(ast.ScalarNode)
	return ok
}

func fault(path string, n ast.Node, problem string) []*FieldError {
	if path == "" {
		path = "document"
	}
	return []*FieldError{{Line: lineOf(n), Field: path, Problem: problem}}
}

// pairs returns the key-value pairs of a mapping. The parser has two node types
// for mappings, one of them for a mapping with a single pair.
func pairs(n ast.Node) ([]*ast.MappingValueNode, bool) {
	switch n := n.(type) {
	case *ast.MappingNode:
		return n.Values, true
	case *ast.MappingValueNode:
		return []*ast.MappingValueNode{n}, true
	}
	return nil, false
}

func fieldType(t reflect.Type, key string) (reflect.Type, bool) {
	for i := range t.NumField() {
		f := t.Field(i)
		if yamlName(f) == key {
			return f.Type, true
		}
	}
	return nil, false
}

// yamlName returns the name of a struct field in the text.
func yamlName(f reflect.StructField) string {
	name, _, _ := strings.Cut(f.Tag.Get("yaml"), ",")
	return name
}
