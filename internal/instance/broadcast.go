package instance

import "sync"

// broadcast wakes all goroutines that wait for a change. The zero value is ready for use.
type broadcast struct {
	mu sync.Mutex
	ch chan struct{}
}

// next returns a channel that is closed by the next call of notify.
func (b *broadcast) next() <-chan struct{} {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.ch == nil {
		b.ch = make(chan struct{})
	}
	return b.ch
}

func (b *broadcast) notify() {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.ch != nil {
		close(b.ch)
		b.ch = nil
	}
}
