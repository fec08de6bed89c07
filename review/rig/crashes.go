package main

import (
	"fmt"
	"time"
)

// crashes: a client's lasting job has two tasks. Three times, 11 s apart, a worker that runs the
// first of them is cut off for 2 s, crashes behind the cut and starts again. No task fails.
func crashes(b *bed) error {
	const id = "00000000000000a1"
	if err := b.addWorkers(8, "a", resources{CPU: 8000, MemMB: 16000, GPU: 8}); err != nil {
		return err
	}
	if err := b.addNodes("", 0.4, 0.4, 0.4); err != nil {
		return err
	}
	task := id + ".0.0.0"
	if !b.submit(batchQueue, id, 0, step{Count: 2, CPU: 4000, MemMB: 8000, GPU: 4, EstMS: 60000, LongRunning: true}) {
		return fmt.Errorf("the job was not accepted")
	}
	for n := range 3 {
		if !waitFor(20*time.Second, func() bool { return b.on(task) != nil }) {
			break
		}
		time.Sleep(9 * time.Second)
		if !b.trouble {
			continue
		}
		w := b.on(task)
		if w == nil {
			continue
		}
		b.rec.notef("worker %s, which runs %s, is cut off for the %d. time; it crashes behind the cut and starts again", w.name, task, n+1)
		w.setReach(silent)
		time.Sleep(2 * time.Second)
		w.setReach(ended)
		if err := w.begin(fmt.Sprintf("%s-%d", w.name, n), "a"); err != nil {
			return err
		}
	}
	time.Sleep(12 * time.Second)
	for _, n := range b.nodes {
		if s := b.state(n, batchQueue, id); s == "failed" || s == "cancelled" {
			b.rec.brokenf("LOST: %s shows the accepted job as %s; nobody cancelled it, and no task has ended as failed", n.name, s)
		}
	}
	if b.on(task) == nil {
		b.rec.brokenf("LOST: task %s of the lasting job runs nowhere, 12 s after the last crash", task)
	}
	return nil
}
