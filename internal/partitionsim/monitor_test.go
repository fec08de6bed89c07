package partitionsim

import "time"

// callStore plays a call to the store and records whether it answered.
func (i *instance) callStore(timeout time.Duration, execute func(reply func()), done func(callResult)) {
	i.sim.send(call{from: i, to: storeHost, timeout: timeout, execute: execute, done: func(r callResult) {
		i.recordStoreResult(r)
		done(r)
	}})
}

// recordStoreResult records what a call says about the store. When the store answers again,
// reads under way are made again.
func (i *instance) recordStoreResult(r callResult) {
	if r != callAnswered {
		i.storeAvailable = false
		return
	}
	i.storeAnsweredAt = i.sim.now
	if i.storeAvailable {
		return
	}
	i.storeAvailable = true
	for _, reader := range i.readers {
		reader.abort()
	}
}

// probeStore asks whether the store serves this instance.
func (i *instance) probeStore(timeout time.Duration, done func(ok bool)) {
	i.callStore(timeout, func(reply func()) { reply() }, func(r callResult) { done(r == callAnswered) })
}

// probeWhileUnavailable probes the store while it does not answer.
func (i *instance) probeWhileUnavailable() {
	again := func(bool) { i.deliver(probeInterval, i.probeWhileUnavailable) }
	if i.storeAvailable {
		again(true)
		return
	}
	i.probeStore(probeTimeout, again)
}

// confirmStore is what a peer does that is asked whether the store serves it.
func (i *instance) confirmStore(attempts int, done func(ok bool)) {
	i.probeStore(confirmTimeout, func(ok bool) {
		if ok || attempts == 1 {
			done(ok)
			return
		}
		i.confirmStore(attempts-1, done)
	})
}
