package main

import (
	"fmt"
	"syscall"
	"time"
)

// cutTime is how long a worker is cut off, stopAfter when the owner is stopped after the cut's
// start.
const (
	cutTime   = 5 * time.Second
	stopAfter = time.Second
)

// refused: a worker is cut off from the store and, by a cut that refuses connections, from the
// process that becomes the owner next. The present owner, which still reaches it, is stopped by
// SIGTERM, as in planned work. The worker runs on under its lease.
func refused(b *bed) error {
	const id = "00000000000000b2"
	if err := b.addWorkers(6, "a", resources{CPU: 8000, MemMB: 16000, GPU: 8}); err != nil {
		return err
	}
	if err := b.addNodes("", 0.4, 0.4, 0.4, 0.4); err != nil {
		return err
	}
	task := id + ".0.0.0"
	if !b.submit(urgentQueue, id, 16000, step{Count: 1, CPU: 4000, MemMB: 8000, GPU: 4, EstMS: 16000}) {
		return fmt.Errorf("the job was not accepted")
	}
	if !waitFor(5*time.Second, func() bool { return b.on(task) != nil }) {
		return fmt.Errorf("the task was not started")
	}
	time.Sleep(3 * time.Second)
	if b.trouble {
		w, owner := b.on(task), b.owner()
		if w == nil || owner == nil {
			return fmt.Errorf("no owner, or the task has ended early")
		}
		// The entry lapses 4.5 s after the last heartbeat, and thus before the cut ends.
		waitFor(heartbeat, func() bool { return w.sinceBeat() > heartbeat/3 })
		b.rec.notef("%s is cut off from the store", w.name)
		w.setStoreCut(true)
		time.Sleep(stopAfter)
		w.setReach(refusing)
		owner.signal(syscall.SIGTERM) // it sends no further orders
		time.Sleep(cutTime - stopAfter)
		b.rec.notef("the cuts of %s heal", w.name)
		w.setReach(reachable)
		w.setStoreCut(false)
		<-owner.exited
		if err := owner.start(); err != nil {
			return err
		}
	}
	if !waitFor(40*time.Second, func() bool { return b.state(b.nodes[0], urgentQueue, id) == "complete" }) {
		b.rec.notef("the job is not complete after 40 s")
	}
	return nil
}
