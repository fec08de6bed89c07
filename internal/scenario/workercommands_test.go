package scenario_test

import (
	"cmp"
	"slices"

	"coltsfootmux/internal/model"
	"coltsfootmux/internal/standin/worker"
)

var workerCommands = []command{
	{"worker", "worker NAME", "starts a worker with 8 slots and accelerators", startWorker},
	{"restart", "restart WORKER", "restarts a worker, which forgets everything", restart},
	{"runs", "runs KEY", "says how often a key truly ran on any worker, and how often at once", runs},
}

var capacity = model.Shape{Slots: 8, Accelerators: 8, CPUMilli: 32_000, MemoryMB: 128_000}

func startWorker(w *world, a *args) error {
	name := a.word("name")
	wk := worker.New(worker.Options{ID: model.WorkerID(name), Capacity: capacity})
	w.workers[name] = wk
	w.serve(name+":80", wk.Handler())
	return nil
}

func restart(w *world, a *args) error {
	wk, err := w.standin(a.word("worker"))
	if err != nil {
		return err
	}
	wk.Restart()
	return nil
}

func runs(w *world, a *args) error {
	key := model.Key(a.word("key"))
	var mine []worker.Run
	for _, wk := range w.workers {
		for _, r := range wk.Runs() {
			if r.Key == key {
				mine = append(mine, r)
			}
		}
	}
	running := 0
	for _, r := range mine {
		if r.Running() {
			running++
		}
	}
	return outcomeLine(a, "ran %d, running %d, at once %d", len(mine), running, mostAtOnce(mine))
}

// mostAtOnce gives how many of the runs overlapped at most.
func mostAtOnce(rs []worker.Run) int {
	slices.SortFunc(rs, func(a, b worker.Run) int { return cmp.Compare(a.Start.UnixNano(), b.Start.UnixNano()) })
	most := 0
	for i, r := range rs {
		n := 1
		for _, before := range rs[:i] {
			if before.Running() || before.End.After(r.Start) {
				n++
			}
		}
		most = max(most, n)
	}
	return most
}
