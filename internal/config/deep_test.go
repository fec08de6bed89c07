package config

import (
	"errors"
	"strings"
	"testing"
)

func TestDeepNestingIsRefused(t *testing.T) {
	const levels = 100_000
	var blocks strings.Builder
	for i := range 3000 {
		blocks.WriteString(strings.Repeat(" ", i) + "a:\n")
	}
	for name, text := range map[string]string{
		"open lists":     strings.Repeat("[", levels),
		"open mappings":  strings.Repeat("{a: ", levels),
		"lists":          strings.Repeat("[", levels) + strings.Repeat("]", levels),
		"block lists":    strings.Repeat("- ", levels),
		"quoted":         `a: "` + strings.Repeat("[", levels) + `"`,
		"explicit keys":  strings.Repeat("? ", levels),
		"many anchors":   strings.Repeat("&a ", levels),
		"blocks":         blocks.String(),
		"tags":           strings.Repeat("!a ", levels),
		"many documents": strings.Repeat("---\n", levels),
	} {
		t.Run(name, func(t *testing.T) {
			if _, err := Parse([]byte(text)); !errors.Is(err, ErrInvalid) {
				t.Errorf("got %v", err)
			}
		})
	}
}
