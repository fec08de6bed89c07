package config

import (
	"cmp"
	"fmt"
	"slices"
	"strings"

	"github.com/goccy/go-yaml/ast"
)

// positions maps the path of each field in a text to its line.
type positions map[string]int

func newPositions(root ast.Node) positions {
	p := make(positions)
	p.add("", root)
	return p
}

func (p positions) add(path string, n ast.Node) {
	switch n := n.(type) {
	case *ast.MappingNode:
		for _, v := range n.Values {
			p.addPair(path, v)
		}
	case *ast.MappingValueNode:
		p.addPair(path, n)
	case *ast.SequenceNode:
		for i, v := range n.Values {
			item := fmt.Sprintf("%s[%d]", path, i)
			p[item] = lineOf(v)
			p.add(item, v)
		}
	}
}

func (p positions) addPair(path string, v *ast.MappingValueNode) {
	field := join(path, keyOf(v))
	p[field] = v.Key.GetToken().Position.Line
	p.add(field, v.Value)
}

// lineOf returns the first line of a node. The token of a block mapping is its
// first ':', which is on the line of its first key.
func lineOf(n ast.Node) int {
	if m, ok := n.(*ast.MappingNode); ok && len(m.Values) > 0 {
		return m.Values[0].Key.GetToken().Position.Line
	}
	if tk := n.GetToken(); tk != nil && tk.Position != nil {
		return tk.Position.Line
	}
	return 0
}

func keyOf(v *ast.MappingValueNode) string { return v.Key.GetToken().Value }

func join(path, field string) string {
	if path == "" {
		return field
	}
	return path + "." + field
}

// line returns the line of a field or, when the text omits it, of the nearest
// enclosing field.
func (p positions) line(field string) int {
	for field != "" {
		if l, ok := p[field]; ok {
			return l
		}
		field = field[:max(0, strings.LastIndexAny(field, ".["))]
	}
	return 1
}

// deepestFieldAt returns the longest path of a field that starts on a line.
func (p positions) deepestFieldAt(line int) string {
	best := ""
	for f, l := range p {
		if l == line && (len(f) > len(best) || len(f) == len(best) && f < best) {
			best = f
		}
	}
	return best
}

// setLines sets the lines of faults and sorts them by line.
func (p positions) setLines(faults []*FieldError) {
	for _, f := range faults {
		f.Line = p.line(f.Field)
	}
	sortFaults(faults)
}

func sortFaults(faults []*FieldError) {
	slices.SortStableFunc(faults, func(a, b *FieldError) int {
		return cmp.Or(cmp.Compare(a.Line, b.Line), cmp.Compare(a.Field, b.Field), cmp.Compare(a.Problem, b.Problem))
	})
}

// faultFromYAML converts an error of the YAML library to a fault.
func (p positions) faultFromYAML(err error) *FieldError {
	line, problem := yamlProblem(err)
	field := p.deepestFieldAt(line)
	if field == "" {
		field = "document"
	}
	return &FieldError{Line: line, Field: field, Problem: problem}
}
