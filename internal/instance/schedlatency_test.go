package instance

import (
	"runtime"
	"sync"
	"testing"
	"time"
)

// An owner whose goroutines waited for a second to read answers was not known to be late.
func TestWaitOfGoroutinesIsMeasured(t *testing.T) {
	defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(1))
	s := newSchedLatency()
	var wg sync.WaitGroup
	for range 100 { // the last of them waits for the others
		wg.Go(func() {
			for began := time.Now(); time.Since(began) < 2*time.Millisecond; {
			}
		})
	}
	wg.Wait()
	if got := s.read(); got < 50*time.Millisecond || got > 2*time.Second {
		t.Errorf("waited for %v", got)
	}
}
