package partitionsim

// askCell asks for a job's state as instance.askCell does: the owner, and else other instances, which ask
// the owner that they know of.
func (i *instance) askCell(done func(known bool)) {
	if i.isOwner() {
		done(true)
		return
	}
	i.askOwner(func(known bool) {
		if known {
			done(true)
			return
		}
		asked := i.peers()
		i.askForward(asked[:min(len(asked), maxPeersPerCall)], done)
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
		p.askOwner(func(k bool) {
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

// askOwner asks the owner of the latest term that this instance knows of, if it is another.
func (i *instance) askOwner(done func(known bool)) {
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
	i.callPeer(o, askTimeout, execute, func(r callResult) { done(r == callAnswered && known) })
}

// isOwner reports whether this instance believes to own the cell and has taken it over.
func (i *instance) isOwner() bool { return i.owner != nil && i.owner.core != nil }
