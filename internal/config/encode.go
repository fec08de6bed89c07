package config

import (
	"github.com/goccy/go-yaml"
	"github.com/rotisserie/eris"
)

// Encode returns a document as YAML, from which Parse gives an equal document.
func Encode(doc *Document) ([]byte, error) {
	b, err := yaml.MarshalWithOptions(doc, yaml.Indent(2), yaml.IndentSequence(true))
	if err != nil {
		return nil, eris.Wrap(err, "encode configuration")
	}
	return b, nil
}
