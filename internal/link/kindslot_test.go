package link

import (
	"testing"

	"coltsfootmux/internal/link/frame"
	"coltsfootmux/internal/wire"
)

// Kinds beyond the last slot were counted as control frames.
func TestEachKindOfCallIsCountedByItself(t *testing.T) {
	for k := wire.Kind(1); k.String() != "other"; k++ {
		if got := slotOf(&frame.Frame{Type: frame.Request, Kind: k}); got != int(k) {
			t.Errorf("kind %s is counted in slot %d", k, got)
		}
	}
}
