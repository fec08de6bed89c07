package config

import "github.com/goccy/go-yaml/token"

const (
	// maxDepth bounds how deep lists and mappings in brackets may nest.
	maxDepth = 16
	// maxIndent bounds the column of block lists and the indentation of lines,
	// and so how deep blocks may nest.
	maxIndent = 200
)

// checkTokens finds what the parser must not see: it calls itself for each level
// of nesting, so that a short text could use up the process's memory. Anchors,
// aliases and tags have no place in a document.
func checkTokens(tokens token.Tokens) *FieldError {
	depth := 0
	for _, t := range tokens {
		problem := ""
		switch t.Type {
		case token.AnchorType, token.AliasType, token.MergeKeyType:
			problem = "anchors and aliases are not allowed"
		case token.TagType:
			problem = "tags are not allowed"
		case token.MappingStartType, token.SequenceStartType:
			depth++
		case token.MappingEndType, token.SequenceEndType:
			depth--
		case token.SequenceEntryType, token.MappingKeyType:
			if t.Position.Column > maxIndent {
				problem = "nested too deep"
			}
		}
		if depth > maxDepth || t.Position.IndentNum > maxIndent {
			problem = "nested too deep"
		}
		if problem != "" {
			return &FieldError{Line: t.Position.Line, Field: "document", Problem: problem}
		}
	}
	return nil
}
