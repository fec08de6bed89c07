package main

import (
	"fmt"
	"time"
)

// drained: a worker drains and serves on for longer than it announced. It is cut off from the
// store only, so that its entry lapses, while the owner still reaches it. Then half of
// the connections to it are reset, once.
func drained(b *bed) error {
	const id = "00000000000000c3"
	if err := b.addWorkers(16, "a", resources{CPU: 8000, MemMB: 16000, GPU: 8}); err != nil {
		return err
	}
	if err := b.addNodes("", 0.4, 0.4, 0.4); err != nil {
		return err
	}
	task := id + ".0.0.0"
	if !b.submit(batchQueue, id, 12000, step{Count: 1, CPU: 4000, MemMB: 8000, GPU: 4, EstMS: 2000}) {
		return fmt.Errorf("the job was not accepted")
	}
	if !waitFor(5*time.Second, func() bool { return b.on(task) != nil }) {
		return fmt.Errorf("the task was not started")
	}
	time.Sleep(2 * time.Second)
	w := b.on(task)
	if w == nil {
		return fmt.Errorf("the task has ended early")
	}
	w.drain(2500 * time.Millisecond)
	if b.trouble {
		time.Sleep(200 * time.Millisecond)
		b.rec.notef("%s is cut off from the store", w.name)
		w.setStoreCut(true)
		time.Sleep(4700 * time.Millisecond)
		w.resetHalf()
		time.Sleep(300 * time.Millisecond)
		b.rec.notef("the cut of %s from the store heals", w.name)
		w.setStoreCut(false)
	}
	waitFor(8*time.Second, func() bool { return b.on(task) != w })
	time.Sleep(500 * time.Millisecond)
	b.rec.notef("%s leaves", w.name)
	w.setStoreCut(true)
	w.setReach(ended)
	b.putEntry(w.id, nil)
	if !waitFor(30*time.Second, func() bool { return b.state(b.nodes[0], batchQueue, id) == "complete" }) {
		b.rec.notef("the job is not complete after 30 s")
	}
	return nil
}
