package main

import (
	"fmt"
	"time"
)

// Bounds of the rules on tasks that last and on urgent jobs: from restartTime after its last
// run, a lasting task must not be without a run for idleTime; an urgent job within its tenant's
// guarantee begins within reclaimTime.
const (
	restartTime = 6 * time.Second
	idleTime    = 3 * time.Second
	reclaimTime = 2700 * time.Millisecond
)

// failing: the only task of one lasting job fails shortly after each start. Another lasting job
// runs well; its task fails once. Then an urgent job is submitted. The workers are nearly idle,
// and nothing else goes wrong.
func failing(b *bed) error {
	const failingID, soundID, urgentID = "00000000000000d4", "00000000000000d5", "00000000000000d6"
	const failingTask, soundTask, urgentTask = failingID + ".0.0.0", soundID + ".0.0.0", urgentID + ".0.0.0"
	if err := b.addWorkers(6, "a", resources{CPU: 8000, MemMB: 16000, GPU: 8}); err != nil {
		return err
	}
	if err := b.addNodes("", 0.4, 0.4, 0.4); err != nil {
		return err
	}
	s := step{Count: 1, CPU: 1000, MemMB: 2000, GPU: 1, EstMS: 60000, LongRunning: true}
	if !b.submit(batchQueue, soundID, 0, s) {
		return fmt.Errorf("the job was not accepted")
	}
	time.Sleep(2 * time.Second)
	if b.trouble {
		s.FailMS = 100
	}
	if !b.submit(batchQueue, failingID, 0, s) {
		return fmt.Errorf("the job was not accepted")
	}
	time.Sleep(28 * time.Second)
	// A while without a run of the failing task: it has been on every worker.
	for idleSince := time.Now(); b.trouble && time.Since(idleSince) < 300*time.Millisecond; time.Sleep(10 * time.Millisecond) {
		if b.on(failingTask) != nil {
			idleSince = time.Now()
		}
	}
	b.endTask(soundTask, "failed")
	failedAt := time.Now()
	if !b.submit(urgentQueue, urgentID, 1000, step{Count: 1, CPU: 1000, MemMB: 2000, GPU: 1, EstMS: 1000}) {
		return fmt.Errorf("the urgent job was not accepted")
	}
	acceptedAt := time.Now()
	if !waitFor(reclaimTime-time.Since(acceptedAt), func() bool { return b.startCount(urgentTask) > 0 }) {
		b.rec.brokenf("RECLAIM: the urgent job %s, within its tenant's guarantee, has not begun %v after its acknowledgement; all but two of 48 GPUs are idle", urgentID, reclaimTime)
	}
	if !waitFor(restartTime+idleTime-time.Since(failedAt), func() bool { return b.on(soundTask) != nil }) {
		b.rec.brokenf("LOST: task %s, which lasts and failed once, has had no run for %v; all but two of 48 GPUs are idle", soundTask, restartTime+idleTime)
	}
	waitFor(20*time.Second, func() bool { return b.on(soundTask) != nil && b.startCount(urgentTask) > 0 })
	b.rec.notef("%v after its failure the sound task has been started %d times, the urgent one %d times", time.Since(failedAt).Round(time.Millisecond), b.startCount(soundTask), b.startCount(urgentTask))
	return nil
}

// endTask ends the present run of a task.
func (b *bed) endTask(task, how string) {
	w := b.on(task)
	if w == nil {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, r := range w.runs {
		if r.task == task {
			w.end(r, how)
			return
		}
	}
}
