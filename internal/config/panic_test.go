package config

import (
	"errors"
	"testing"
)

func TestTextThatMakesTheYAMLParserPanicIsRefused(t *testing.T) {
	for _, text := range []string{"tokens:\n  ! 00000000", "fleet:\n  ! 00000000", "accounts:\n  - ! 0\n  ! 0"} {
		_, err := Parse([]byte(text))
		var field *FieldError
		if !errors.As(err, &field) {
			t.Errorf("%q: got %v", text, err)
		}
	}
}
