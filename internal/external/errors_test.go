package external

import (
	"errors"
	"testing"

	"github.com/rotisserie/eris"
)

func TestGoneIsNotDone(t *testing.T) {
	gone := eris.Wrap(ErrGone, "dial")
	other := eris.Wrap(ErrNotDone, "503")
	if !errors.Is(gone, ErrGone) || !errors.Is(gone, ErrNotDone) {
		t.Error("gone is not recognised")
	}
	if errors.Is(other, ErrGone) || errors.Is(eris.Wrap(ErrUnclear, "x"), ErrNotDone) {
		t.Error("another error is taken for it")
	}
}
