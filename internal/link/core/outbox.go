package core

import (
	"slices"
	"time"
)

// outbox holds the messages that wait to be sent, in lanes. Messages of one
// lane take turns chunk by chunk, so a long one doesn't hold up short ones.
type outbox struct {
	lanes  [priorityCount][]*message
	bytes  int
	budget Budget
}

func (o *outbox) put(l Priority, m *message) {
	o.lanes[l] = append(o.lanes[l], m)
	o.bytes += len(m.body)
}

func (o *outbox) empty() bool {
	for _, l := range o.lanes {
		if len(l) > 0 {
			return false
		}
	}
	return true
}

// drop takes a message out that isn't wholly sent.
func (o *outbox) drop(m *message) {
	for l, lane := range o.lanes {
		if i := slices.Index(lane, m); i >= 0 {
			o.lanes[l] = slices.Delete(lane, i, i+1)
			o.bytes -= len(m.body) - m.sent
			return
		}
	}
}

// head gives the message whose chunk goes next, or how long the budget makes
// the first one wait.
func (o *outbox) head(now time.Time) (m *message, lane Priority, wait time.Duration) {
	for l := range priorityCount {
		if len(o.lanes[l]) == 0 {
			continue
		}
		m := o.lanes[l][0]
		if o.budget == nil {
			return m, l, 0
		}
		d := o.budget.Take(now, l, m.size())
		if d == 0 {
			return m, l, 0
		}
		if wait == 0 || d < wait {
			wait = d
		}
	}
	return nil, 0, wait
}

// turn takes the lane's first message to its end, or out when it is done.
func (o *outbox) turn(l Priority, sent int, done bool) {
	lane := o.lanes[l]
	m := lane[0]
	o.bytes -= sent
	copy(lane, lane[1:])
	lane[len(lane)-1] = nil
	o.lanes[l] = lane[:len(lane)-1]
	if !done {
		o.lanes[l] = append(o.lanes[l], m)
	}
}
