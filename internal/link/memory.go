package link

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"coltsfootmux/internal/core/membudget"
	"coltsfootmux/internal/link/core"
)

const (
	// defaultMemoryBytes is the MemoryBytes of a server whose options set none.
	defaultMemoryBytes = 32 << 20
	// memoryReserveShare is the part of it that is kept for links that hold little.
	memoryReserveShare = 4
	// littleMemory is what such a link holds at most.
	littleMemory = 256 << 10
	// memoryStallTime is how long a link must not have moved on before it is closed for others.
	memoryStallTime = time.Second
	// memoryLogInterval is the least time between two log lines on calls without memory.
	memoryLogInterval = time.Second
)

// memory bounds what the calls of all links of a server hold.
type memory struct {
	logger *slog.Logger

	mu     sync.Mutex
	budget *membudget.Budget
	links  map[membudget.ID]*linkMemory
	lastID membudget.ID
	// denied counts the claims that failed since the last log line, at loggedAt.
	denied   int
	loggedAt time.Time
}

// linkMemory is the part of one link. It implements core.Memory.
type linkMemory struct {
	all *memory
	id  membudget.ID
	// close closes the link; it does not wait for a lock.
	close context.CancelFunc
	// evicted reports that the link was closed because others needed its memory; guarded by
	// all.mu.
	evicted bool
}

func newMemory(limit int, l core.Limits, logger *slog.Logger) *memory {
	return &memory{
		logger: logger, links: make(map[membudget.ID]*linkMemory),
		budget: membudget.New(membudget.Limits{
			Bytes: limit, ReserveBytes: limit / memoryReserveShare, SmallBytes: littleMemory,
			LoneBytes: l.MaxMessageBytes, StallTime: memoryStallTime,
		}),
	}
}

func (m *memory) add(closeLink context.CancelFunc) *linkMemory {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.lastID++
	l := &linkMemory{all: m, id: m.lastID, close: closeLink}
	m.links[l.id] = l
	return l
}

// remove returns what the link still holds. It reports whether the link was evicted.
func (l *linkMemory) remove() bool {
	l.all.mu.Lock()
	defer l.all.mu.Unlock()
	l.all.budget.Remove(l.id)
	delete(l.all.links, l.id)
	return l.evicted
}

// Claim implements core.Memory.
func (l *linkMemory) Claim(now time.Time, n int) bool {
	m := l.all
	m.mu.Lock()
	defer m.mu.Unlock()
	if l.evicted {
		return false
	}
	d := m.budget.Claim(now, l.id, n)
	for _, id := range d.Evicted {
		m.links[id].evicted = true
		m.links[id].close()
	}
	if !d.Granted {
		m.recordDenial(now)
	}
	return d.Granted
}

// recordDenial counts a claim that failed, and logs with bounded frequency. m.mu is held.
func (m *memory) recordDenial(now time.Time) {
	memoryDenials.Inc()
	m.denied++
	if now.Sub(m.loggedAt) < memoryLogInterval {
		return
	}
	evMemoryDenied.Log(context.Background(), m.logger, slog.Int("calls", m.denied),
		slog.Int("links", len(m.links)), slog.Int("bytes", m.budget.Bytes()))
	m.denied, m.loggedAt = 0, now
}

// Release implements core.Memory.
func (l *linkMemory) Release(now time.Time, n int) {
	l.all.mu.Lock()
	defer l.all.mu.Unlock()
	l.all.budget.Release(now, l.id, n)
}
