package core

import (
	"slices"
	"time"
)

// sendQueue holds the messages that wait to be sent, by priority. Messages of the
// same priority are sent round-robin, one chunk at a time, so that a long one does
// not delay short ones.
type sendQueue struct {
	byPriority [priorityCount][]*message
	bytes      int
	budget     Budget
}

func (q *sendQueue) push(p Priority, m *message) {
	q.byPriority[p] = append(q.byPriority[p], m)
	q.bytes += len(m.body)
}

func (q *sendQueue) empty() bool {
	for _, waiting := range q.byPriority {
		if len(waiting) > 0 {
			return false
		}
	}
	return true
}

// remove removes a message of which chunks are still to be sent.
func (q *sendQueue) remove(m *message) {
	for p, messages := range q.byPriority {
		if i := slices.Index(messages, m); i >= 0 {
			q.byPriority[p] = slices.Delete(messages, i, i+1)
			q.bytes -= len(m.body) - m.sent
			return
		}
	}
}

// next returns the message whose chunk is sent next and charges the chunk to the
// budget. If the budget delays all messages, it returns the shortest wait.
func (q *sendQueue) next(now time.Time) (m *message, p Priority, wait time.Duration) {
	for p := range priorityCount {
		if len(q.byPriority[p]) == 0 {
			continue
		}
		m := q.byPriority[p][0]
		if q.budget == nil {
			return m, p, 0
		}
		d := q.budget.Take(now, p, m.nextFrameBytes())
		if d == 0 {
			return m, p, 0
		}
		if wait == 0 || d < wait {
			wait = d
		}
	}
	return nil, 0, wait
}

// rotate moves the first message of a priority to the end, or removes it if it is done.
func (q *sendQueue) rotate(p Priority, sent int, done bool) {
	messages := q.byPriority[p]
	m := messages[0]
	q.bytes -= sent
	copy(messages, messages[1:])
	messages[len(messages)-1] = nil
	q.byPriority[p] = messages[:len(messages)-1]
	if !done {
		q.byPriority[p] = append(q.byPriority[p], m)
	}
}
