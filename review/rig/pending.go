package main

import (
	"fmt"
	"time"
)

// pending: eleven of twelve workers are full. The twelfth refuses every start, with its health
// good, for 5.5 s. Eight jobs wait meanwhile, and a client asks how many jobs have not begun.
func pending(b *bed) error {
	const visible = 5 * time.Second // visible_ms and 2 s
	if err := b.addWorkers(12, "a", resources{CPU: 8000, MemMB: 16000, GPU: 8}); err != nil {
		return err
	}
	if err := b.addNodes("", 0.4, 0.4, 0.4); err != nil {
		return err
	}
	for n := range 11 {
		id := fmt.Sprintf("00000000000000e%x", n)
		if !b.submit(batchQueue, id, 0, step{Count: 1, CPU: 4000, MemMB: 8000, GPU: 8, EstMS: 60000, LongRunning: true}) {
			return fmt.Errorf("job %s was not accepted", id)
		}
	}
	time.Sleep(2 * time.Second)
	var idle *worker
	for _, w := range b.workers {
		if len(w.tasks()) == 0 {
			idle = w
		}
	}
	if idle == nil {
		return fmt.Errorf("no worker is idle")
	}
	if b.trouble {
		b.rec.notef("%s refuses every start", idle.name)
		idle.setRefusing(true)
	}
	var ids []string
	for n := range 8 {
		id := fmt.Sprintf("00000000000000f%x", n)
		if !b.submit(batchQueue, id, 2000, step{Count: 1, CPU: 500, MemMB: 1000, GPU: 1, EstMS: 2000}) {
			return fmt.Errorf("job %s was not accepted", id)
		}
		ids = append(ids, id)
	}
	time.Sleep(visible + 200*time.Millisecond)
	for _, n := range b.nodes {
		before := b.countNotBegun(ids)
		told := b.pendingOf(n, batchQueue)
		after := b.countNotBegun(ids)
		if told >= 0 && before == after && 2*told < after {
			b.rec.brokenf("MIXED: %s gives %d as pending; %d jobs that were accepted over %v before have not begun", n.name, told, after, visible)
		}
		b.state(n, batchQueue, ids[0])
	}
	idle.setRefusing(false)
	if !waitFor(40*time.Second, func() bool { return b.countNotBegun(ids) == 0 }) {
		b.rec.notef("some jobs have not begun 40 s after the worker starts tasks again")
	}
	return nil
}

// countNotBegun returns how many of the jobs have had no task started by a worker.
func (b *bed) countNotBegun(ids []string) int {
	n := 0
	for _, id := range ids {
		if b.startCount(id+".0.0.0") == 0 {
			n++
		}
	}
	return n
}

func (w *worker) tasks() []string {
	w.mu.Lock()
	defer w.mu.Unlock()
	var out []string
	for _, r := range w.runs {
		out = append(out, r.task)
	}
	return out
}

// setRefusing makes the worker refuse every start, or ends that.
func (w *worker) setRefusing(on bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.refusesStarts = on
}
