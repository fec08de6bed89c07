package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"syscall"
	"time"
)

// occurrences: a client's job runs three times, 8 s apart. The process that owns the cell is
// stopped by SIGTERM after the first time and again after the second, and started again.
func occurrences(b *bed) error {
	const id = "00000000000000c9"
	if err := b.addWorkers(6, "a", resources{CPU: 8000, MemMB: 16000, GPU: 8}); err != nil {
		return err
	}
	if err := b.addNodes("", 0.4, 0.4, 0.4); err != nil {
		return err
	}
	spec := workSpec{Work: 500, resources: resources{CPU: 1000, MemMB: 2000, GPU: 1}, Label: anyLabel}
	body, _ := json.Marshal(map[string]any{
		"spec":  spec.String(),
		"times": 3, "start_at_ms": time.Now().Add(time.Second).UnixMilli(), "interval_ms": 8000,
		"steps": []step{{Count: 1, CPU: 1000, MemMB: 2000, GPU: 1, EstMS: 500}},
	})
	if status, _ := b.call(http.MethodPost, b.nodes[0], batchQueue+id, body); status != http.StatusOK {
		return fmt.Errorf("the job was not accepted")
	}
	tasks := []string{id + ".0.0.0", id + ".1.0.0", id + ".2.0.0"}
	for n, task := range tasks[:2] {
		if !waitFor(12*time.Second, func() bool { return b.startCount(task) > 0 && b.on(task) == nil }) {
			return fmt.Errorf("time %d has not run", n)
		}
		time.Sleep(2 * time.Second)
		if !b.trouble {
			continue
		}
		owner := b.owner()
		if owner == nil {
			return fmt.Errorf("no owner")
		}
		owner.signal(syscall.SIGTERM)
		<-owner.exited
		if err := owner.start(); err != nil {
			return err
		}
	}
	waitFor(20*time.Second, func() bool { return b.state(b.nodes[1], batchQueue, id) == "complete" })
	time.Sleep(2 * time.Second)
	return nil
}
