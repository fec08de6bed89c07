package config

import (
	"errors"
	"fmt"

	"github.com/goccy/go-yaml"
	"github.com/goccy/go-yaml/ast"
	"github.com/goccy/go-yaml/lexer"
	"github.com/goccy/go-yaml/parser"
)

// MaxTextBytes is the largest size of a document's text.
const MaxTextBytes = 8 << 20

// Parse reads a document from YAML, fills omitted fields with their defaults,
// validates it and puts it in canonical order. The error is an *InvalidError
// with every fault found, each with its line and field.
func Parse(text []byte) (*Document, error) {
	if len(text) > MaxTextBytes {
		return nil, asError([]*FieldError{{Field: "document", Problem: fmt.Sprintf("longer than %d bytes", MaxTextBytes)}})
	}
	root, err := parseTree(text)
	if err != nil {
		return nil, err
	}
	pos := newPositions(root)
	if faults := checkSchema(root); len(faults) > 0 {
		return nil, asError(faults)
	}
	var doc Document
	if err := yaml.NodeToValue(root, &doc); err != nil {
		return nil, asError([]*FieldError{pos.faultFromYAML(err)})
	}
	filled := doc.WithDefaults()
	if faults := problems(filled); len(faults) > 0 {
		pos.setLines(faults)
		return nil, asError(faults)
	}
	return filled.Canonical(), nil
}

// parseTree parses the text as one YAML document. Duplicate keys are accepted
// here, as checkSchema reports them with their path. It recovers from panics,
// as the library panics on some malformed text.
func parseTree(text []byte) (root ast.Node, err error) {
	defer func() {
		if p := recover(); p != nil {
			root, err = nil, asError([]*FieldError{{Line: 1, Field: "document", Problem: fmt.Sprintf("malformed YAML: %v", p)}})
		}
	}()
	tokens := lexer.Tokenize(string(text))
	if f := checkTokens(tokens); f != nil {
		return nil, asError([]*FieldError{f})
	}
	file, err := parser.Parse(tokens, 0, parser.AllowDuplicateMapKey())
	if err != nil {
		return nil, asError([]*FieldError{positions{}.faultFromYAML(err)})
	}
	if len(file.Docs) != 1 || file.Docs[0].Body == nil {
		return nil, asError([]*FieldError{{Line: 1, Field: "document", Problem: "want one YAML document"}})
	}
	return file.Docs[0].Body, nil
}

// yamlProblem returns the message of a YAML error without its source excerpt.
func yamlProblem(err error) (line int, problem string) {
	var ye yaml.Error
	if !errors.As(err, &ye) {
		return 0, err.Error()
	}
	if tk := ye.GetToken(); tk != nil && tk.Position != nil {
		line = tk.Position.Line
	}
	return line, ye.GetMessage()
}
