package config

import "github.com/goccy/go-yaml/token"

const (
	// maxDepth is the deepest nesting of lists and mappings in brackets.
	maxDepth = 16
	// maxIndent bounds the column of block lists and the indentation of lines,
	// and thereby how deeply blocks may nest.
	maxIndent = 200
)

// checkTokens refuses deep nesting before the text is parsed: the parser recurses
// for each level, so that a short text could use up the process's memory. It also
// refuses anchors, aliases and tags, which documents don't use.
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
