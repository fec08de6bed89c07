package scheduler

import (
	"coltsfootmux/internal/core/ledger"
	"coltsfootmux/internal/model"
	"coltsfootmux/internal/wire"
)

// submit takes a caller's request to the ledger, or says who owns its key.
func (l *loop) submit(m submitMsg) {
	mRequests.Inc()
	g, owner, mine := l.route(m.submit.Work.Key)
	if !mine {
		m.reply <- wire.SubmitReply{Moved: true, Owner: owner}
		return
	}
	if m.submit.Work.Detached {
		if r, refused := l.led.Refusal(now(), &m.submit.Work); refused {
			m.reply <- wire.SubmitReply{Result: r}
			return
		}
		if _, known := l.led.Status(m.submit.Work.Key); !known {
			go l.s.recordJob(l.ctx, g, m.submit, m.reply)
			return
		}
	}
	l.toLedger(m.submit, m.reply)
}

// route says whether a key's group is owned here and ready, and who else may own it.
func (l *loop) route(k model.Key) (g model.GroupID, owner model.Member, mine bool) {
	if l.maps == nil {
		return 0, model.Member{}, false
	}
	g = l.maps.Group(k)
	if og, ok := l.groups[g]; ok && og.ready {
		return g, model.Member{}, true
	}
	if o, ok := l.own.Owner(model.GroupScope(g)); ok && o.Host != l.s.o.Self.ID {
		owner = o
	}
	return g, owner, false
}

func (l *loop) toLedger(sub wire.Submit, reply chan wire.SubmitReply) {
	l.lastWait++
	w := l.lastWait
	l.waiters[w] = reply
	l.byReply[reply] = w
	l.stepLedger(ledger.Submitted{Work: sub.Work, Sum: sub.Sum, Waiter: w, Epoch: sub.Epoch})
}

// gone forgets a caller that no longer waits.
func (l *loop) gone(m goneMsg) {
	w, ok := l.byReply[m.reply]
	if !ok {
		return
	}
	delete(l.byReply, m.reply)
	delete(l.waiters, w)
	l.stepLedger(ledger.WaiterGone{Waiter: w})
}
