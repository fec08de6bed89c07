package partitionsim

import (
	"slices"
	"time"
)

// askCell asks for a job's state as instance.cellQuestion does: the owner, and else other instances, which
// ask the owner that they know of. An owner that has lately not answered is asked beside the others.
//
// done may be called for each of the two.
func (i *instance) askCell(done func(known bool)) {
	if i.isOwner() {
		done(true)
		return
	}
	rec, ok := i.term.OwnerRecord()
	asked := i.peers()
	asked = asked[:min(len(asked), maxPeersPerCall)]
	asked = slices.DeleteFunc(asked, func(p *instance) bool { return ok && string(p.host) == rec.Addr })
	if ok && i.demoted(host(rec.Addr)) > 0 {
		i.askOwner(askTimeout, done)
		i.askForward(asked, done)
		return
	}
	i.askOwner(askTimeout, func(known bool) {
		if known {
			done(true)
			return
		}
		i.askForward(asked, done)
	})
}

// askForward asks instances in turn until one knows.
func (i *instance) askForward(peers []*instance, done func(known bool)) {
	if len(peers) == 0 {
		done(false)
		return
	}
	p := peers[0]
	known := false
	execute := func(reply func()) {
		if p.isOwner() {
			known = true
			reply()
			return
		}
		p.askOwner(forwardTimeout, func(k bool) {
			known = k
			reply()
		})
	}
	i.callPeer(p, askTimeout, execute, func(r callResult) {
		if r == callAnswered && known {
			done(true)
			return
		}
		i.askForward(peers[1:], done)
	})
}

// forwardTimeout bounds a question that is passed on to the owner, as in package instance.
const forwardTimeout = 350 * time.Millisecond

// askOwner asks the owner of the latest term that this instance knows of, if it is another.
func (i *instance) askOwner(timeout time.Duration, done func(known bool)) {
	rec, ok := i.term.OwnerRecord()
	if !ok || rec.Addr == string(i.host) {
		done(false)
		return
	}
	o := i.sim.instanceAt(rec.Addr)
	known := false
	execute := func(reply func()) {
		known = o.isOwner()
		reply()
	}
	i.callPeer(o, timeout, execute, func(r callResult) { done(r == callAnswered && known) })
}

// isOwner reports whether this instance believes to own the cell and has taken it over.
func (i *instance) isOwner() bool { return i.owner != nil && i.owner.core != nil }
