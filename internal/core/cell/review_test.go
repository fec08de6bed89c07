package cell

import (
	"testing"
	"time"

	"coltsfootmux/internal/core/lag"
)

// Guards against reviews whose share of the processor grows with the number of workers.
func TestReviewsOfLargeFleetsAreLessFrequent(t *testing.T) {
	for workers, want := range map[int]time.Duration{0: time.Second, 350: time.Second, 700: 2 * time.Second, 3500: 10 * time.Second} {
		c := &Core{fleet: make([]*worker, workers)}
		if got := lag.ReviewInterval(len(c.fleet), time.Second); got != want {
			t.Errorf("%d workers: %v, want %v", workers, got, want)
		}
	}
}
