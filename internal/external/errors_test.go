package external

import (
	"errors"
	"testing"

	"github.com/rotisserie/eris"
)

func TestConnectionRefusedIsNotExecuted(t *testing.T) {
	refused := eris.Wrap(ErrConnectionRefused, "dial")
	other := eris.Wrap(ErrNotExecuted, "503")
	if !errors.Is(refused, ErrConnectionRefused) || !errors.Is(refused, ErrNotExecuted) {
		t.Error("a refused connection is not recognised")
	}
	if errors.Is(other, ErrConnectionRefused) || errors.Is(eris.Wrap(ErrOutcomeUnknown, "x"), ErrNotExecuted) {
		t.Error("another error matches")
	}
}
