package scheduler

import (
	"coltsfootmux/internal/core/ledger"
	"coltsfootmux/internal/wire"
)

func (l *loop) cancel(m cancelMsg) {
	_, owner, mine := l.route(m.cancel.Key)
	if !mine {
		m.reply <- wire.CancelReply{Moved: true, Owner: owner}
		return
	}
	l.lastWait++
	l.cancels[l.lastWait] = m.reply
	l.stepLedger(ledger.Cancelled{Key: m.cancel.Key, Account: m.cancel.Account, Waiter: l.lastWait})
}

func (l *loop) status(m statusMsg) {
	if m.query.Key == "" {
		m.reply <- wire.StatusReply{Items: l.explain(l.led.List(m.query.Account, m.query.Limit))}
		return
	}
	_, owner, mine := l.route(m.query.Key)
	if !mine {
		m.reply <- wire.StatusReply{Moved: true, Owner: owner}
		return
	}
	var items []wire.Status
	if st, ok := l.led.Status(m.query.Key); ok {
		items = append(items, st)
	}
	m.reply <- wire.StatusReply{Items: l.explain(items)}
}

// explain adds to each waiting item why it waits.
func (l *loop) explain(items []wire.Status) []wire.Status {
	for i := range items {
		if why, ok := l.pl.Why(items[i].Key); ok {
			items[i].StateReason = why
		}
	}
	return items
}
