package entry

import (
	"fmt"
	"os"
	"regexp"
	"strings"
	"testing"
)

// TestDocumentedStatusesMatchTheCode compares docs/API.md with the code.
func TestDocumentedStatusesMatchTheCode(t *testing.T) {
	raw, err := os.ReadFile("../../docs/API.md")
	if err != nil {
		t.Fatal(err)
	}
	text := string(raw)
	for reason, c := range notRunErrors {
		later := "no"
		if c.retry {
			later = "yes"
		}
		if row := fmt.Sprintf("| `%s` | %d | %s |", reason, c.status, later); !strings.Contains(text, row) {
			t.Errorf("docs/API.md lacks %s", row)
		}
	}
	rows := regexp.MustCompile("(?m)^\\| `[a-z_]+` \\| \\d+ \\| (yes|no) \\|$").FindAllString(text, -1)
	if len(rows) != len(notRunErrors) {
		t.Errorf("docs/API.md lists %d reasons, the code has %d", len(rows), len(notRunErrors))
	}
	for _, code := range []string{
		codeMalformed, codeTooLarge, codeSlow, codeMediaType, codeKeyMissing, codeKeyInvalid, codeInvalid, codeForbidden, codeNotFound, codeEnded,
	} {
		if !strings.Contains(text, "`"+code+"`") {
			t.Errorf("docs/API.md lacks the code %s", code)
		}
	}
}
