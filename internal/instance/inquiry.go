package instance

import (
	"log/slog"
	"strings"
	"sync"
)

// inquiry is what instances answered to one question about the cell.
type inquiry struct {
	mu      sync.Mutex
	owner   string
	answers []string
}

// add records the answer of an instance.
func (q *inquiry) add(addr string, known bool, err error) {
	answer := "not known"
	switch {
	case err != nil:
		answer = err.Error()
	case known:
		answer = "known"
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	q.answers = append(q.answers, addr+": "+answer)
}

// ownAnswer records the answer of the asking instance, which owns the cell.
func (q *inquiry) ownAnswer(i *Instance, known bool) {
	q.owner = i.Settings.LinkAddr
	q.add(q.owner, known, nil)
}

// attrs returns the address of the owner that was asked, empty if none was known, and the answers of
// all instances in the order in which they came.
func (q *inquiry) attrs() []slog.Attr {
	q.mu.Lock()
	defer q.mu.Unlock()
	return []slog.Attr{slog.String("owner", q.owner), slog.String("asked", strings.Join(q.answers, "; "))}
}
