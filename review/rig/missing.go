package main

import (
	"fmt"
	"time"
)

// missing: a client's lasting job has two tasks, one of which may be missing at a time. An
// urgent job within its tenant's guarantee needs the room of both. Nothing goes wrong.
func missing(b *bed) error {
	const servingID, fillerID, urgentID = "00000000000000a7", "00000000000000a8", "00000000000000a9"
	if err := b.addWorkers(3, "a", resources{CPU: 8000, MemMB: 16000, GPU: 8}); err != nil {
		return err
	}
	if err := b.addNodes("", 0.4, 0.4, 0.4); err != nil {
		return err
	}
	serving := step{Count: 2, CPU: 1000, MemMB: 2000, GPU: 4, EstMS: 60000, LongRunning: true, MayMiss: 1}
	if !b.submit(batchQueue, servingID, 0, serving) {
		return fmt.Errorf("the serving job was not accepted")
	}
	if !waitFor(5*time.Second, func() bool { return b.on(servingID+".0.0.0") != nil && b.on(servingID+".0.0.1") != nil }) {
		return fmt.Errorf("the serving job was not started")
	}
	time.Sleep(time.Second)
	filler := step{Count: 2, CPU: 1000, MemMB: 2000, GPU: 8, EstMS: 60000, LongRunning: true, MayMiss: 1}
	if b.on(servingID+".0.0.0") != b.on(servingID+".0.0.1") {
		filler.Count = 1
	}
	if !b.submit(batchQueue, fillerID, 0, filler) {
		return fmt.Errorf("the other job was not accepted")
	}
	time.Sleep(4 * time.Second)
	if b.trouble {
		if !b.submit(urgentQueue, urgentID, 3000, step{Count: 2, CPU: 1000, MemMB: 2000, GPU: 8, EstMS: 3000}) {
			return fmt.Errorf("the urgent job was not accepted")
		}
	}
	time.Sleep(10 * time.Second)
	return nil
}
