package main

import (
	"encoding/json"
	"fmt"
	"syscall"
	"time"

	"coltsfootmux/platform"
)

// upkeep: operators ask for the upkeep of six machines, one at a time. The first machine of the
// list is busy at first. Its task ends while another machine is down, and the process that owns
// the cell is stopped by SIGTERM.
func upkeep(b *bed) error {
	const id = "00000000000000b7"
	if err := b.addWorkers(6, "a", resources{CPU: 8000, MemMB: 16000, GPU: 8}); err != nil {
		return err
	}
	c, err := b.startCloud(1)
	if err != nil {
		return err
	}
	if err := b.addNodes(fmt.Sprintf("[cloud]\naddr = %q\nrate_per_s = 60.0\nduty_per_s = 60.0\n", c.addr), 0.4, 0.4, 0.4); err != nil {
		return err
	}
	task := id + ".0.0.0"
	if !b.submit(batchQueue, id, 30000, step{Count: 1, CPU: 1000, MemMB: 2000, GPU: 1, EstMS: 8000}) {
		return fmt.Errorf("the job was not accepted")
	}
	if !waitFor(5*time.Second, func() bool { return b.on(task) != nil }) {
		return fmt.Errorf("the task was not started")
	}
	busy := b.on(task)
	machines := []string{busy.name}
	for _, w := range b.workers {
		if w != busy {
			machines = append(machines, w.name)
		}
	}
	time.Sleep(2 * time.Second)
	wave, _ := json.Marshal(map[string]any{"wave": 1, "machines": machines, "over_s": 60, "cap": 1})
	b.store.Put(platform.TopicPolicy, "wave/1", wave)
	b.rec.notef("wave %s", wave)
	for n := range 2 { // the second upkeep
		if !waitFor(20*time.Second, func() bool { return c.downCount() > 0 }) {
			return fmt.Errorf("no upkeep began")
		}
		if n == 0 {
			waitFor(10*time.Second, func() bool { return c.downCount() == 0 })
		}
	}
	time.Sleep(300 * time.Millisecond)
	b.endTask(task, "done")
	time.Sleep(200 * time.Millisecond)
	if b.trouble {
		owner := b.owner()
		if owner == nil {
			return fmt.Errorf("no owner")
		}
		owner.signal(syscall.SIGTERM)
	}
	time.Sleep(30 * time.Second)
	return nil
}
