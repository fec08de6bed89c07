package main

import (
	"fmt"
	"slices"
	"strings"
	"time"
)

// readyTime is how long the nodes may take to be ready, leadTime how long the deployment is left alone
// before clients send jobs.
const (
	readyTime = 15 * time.Second
	leadTime  = 6 * time.Second
)

// workerCap is what a worker of the site has.
var workerCap = resources{CPU: 32000, MemMB: 131072, GPU: 8}

func addWorkers(r *rig, n int) {
	for i := range n {
		r.workers = append(r.workers, newWorker(r, fmt.Sprintf("i-%02d", i), fmt.Sprintf("m-%02d", i), "r0", workerCap))
	}
}

// endsScenario: many short tasks end while the store is down.
var endsScenario = scenario{
	setUp: func(r *rig) { addWorkers(r, 2) },
	queue: []queue{{name: "route-plan", prefix: "/plan/", priority: 1}},
	play: func(r *rig, trouble bool) ([]string, bool) {
		const (
			path     = "/plan/00000000000000a1"
			tasks    = 1600
			work     = 7 * time.Second
			downTime = 4200 * time.Millisecond
		)
		time.Sleep(leadTime)
		need := resources{CPU: 30, MemMB: 100}
		if !r.submit(path, map[string]any{"spec": text(spec{Need: need, WorkMS: int(work.Milliseconds())}), "steps": []any{step(tasks, need, int(work.Milliseconds()))}}) {
			return nil, false
		}
		running := r.await(6*time.Second, func() bool { starts, _, _ := r.log.counts(); return starts >= tasks })
		r.log.note("all tasks have been started: %v", running)
		time.Sleep(2 * time.Second)
		if trouble {
			r.log.note("store  down, without an answer")
			r.store.setDown(true)
		}
		time.Sleep(downTime)
		if trouble {
			r.store.setDown(false)
			r.log.note("store  back")
		}
		complete := r.await(30*time.Second, func() bool { return r.state(0, path) == "complete" })
		r.log.note("job    is %s", r.state(0, path))
		time.Sleep(3 * time.Second)
		return r.log.twice(), running && complete
	},
}

// availability follows the tasks of a step that may miss a number of them.
type availability struct {
	job     string
	count   int
	mayMiss int
	startup time.Duration
}

// broken returns the orders that ended a task at work while too many others were away. Upkeeps end
// runs as gone, stops as stopped.
func (a availability) broken(l *logbook) []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	type end struct {
		task string
		h    *history
	}
	var ends []end
	for task, hs := range l.tasks {
		if !strings.HasPrefix(task, a.job+".") {
			continue
		}
		for _, h := range hs {
			if (h.how == "stopped" || h.how == "gone") && h.ended.Sub(h.started) > a.startup {
				ends = append(ends, end{task, h})
			}
		}
	}
	slices.SortFunc(ends, func(x, y end) int { return x.h.ended.Compare(y.h.ended) })
	var out []string
	for n, e := range ends {
		var away []string
		for _, o := range ends[:n] {
			if o.task != e.task && !slices.Contains(away, o.task) && !a.atWork(l.tasks[o.task], e.h.ended) {
				away = append(away, o.task)
			}
		}
		if len(away) >= a.mayMiss {
			out = append(out, fmt.Sprintf("%s, at work on %s, was ended (%s) while %d others of its step (%s) were away by such orders; %d may be",
				e.task, e.h.worker, e.h.how, len(away), strings.Join(away, ", "), a.mayMiss))
		}
	}
	return out
}

// atWork reports whether a run of the task is at work at a time.
func (a availability) atWork(hs []*history, at time.Time) bool {
	for _, h := range hs {
		if at.Sub(h.started) > a.startup && (h.ended.IsZero() || h.ended.After(at)) {
			return true
		}
	}
	return false
}

// working returns how many tasks of the step are at work.
func (a availability) working(l *logbook) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	n := 0
	for task, hs := range l.tasks {
		if strings.HasPrefix(task, a.job+".") && a.atWork(hs, time.Now()) {
			n++
		}
	}
	return n
}

const startupTime = 300 * time.Millisecond

// submitLasting submits a job whose tasks last, and waits until all are at work.
func (a availability) submitLasting(r *rig, path string, need resources, perWorker int) bool {
	s := step(a.count, need, 1000)
	s["long_running"], s["may_miss"], s["max_per_server"] = true, a.mayMiss, perWorker
	if perWorker == 0 {
		delete(s, "max_per_server")
	}
	sp := spec{Need: need, Lasts: true, StartupMS: int(startupTime.Milliseconds())}
	if !r.submit(path+a.job, map[string]any{"spec": text(sp), "steps": []any{s}}) {
		return false
	}
	ok := r.await(8*time.Second, func() bool { return a.working(r.log) == a.count })
	r.log.note("job    %s has all %d tasks at work: %v", a.job, a.count, ok)
	return ok
}

// preemptScenario: an urgent job within its tenant's guarantee needs a whole worker.
var preemptScenario = scenario{
	setUp:      func(r *rig) { addWorkers(r, 3) },
	queue:      []queue{{name: "standing-check", prefix: "/check/", priority: 2}, {name: "dewar-reserve", prefix: "/reserve/", priority: 0}},
	guaranteed: 8,
	play: func(r *rig, trouble bool) ([]string, bool) {
		a := availability{job: "00000000000000b1", count: 4, mayMiss: 1, startup: startupTime}
		time.Sleep(leadTime)
		if !a.submitLasting(r, "/check/", resources{CPU: 1000, MemMB: 2000, GPU: 2}, 0) {
			return nil, false
		}
		whole := resources{CPU: 16000, MemMB: 16000, GPU: 8}
		ordinary := map[string]any{"spec": text(spec{Need: whole, WorkMS: 60000}), "steps": []any{step(2, whole, 60000)}}
		if !r.submit("/check/00000000000000b2", ordinary) {
			return nil, false
		}
		time.Sleep(8 * time.Second)
		const urgent = "/reserve/00000000000000b3"
		if trouble {
			r.submit(urgent, map[string]any{"spec": text(spec{Need: whole, WorkMS: 5000}), "steps": []any{step(1, whole, 5000)}})
		}
		time.Sleep(10 * time.Second)
		if trouble {
			r.log.note("job    the urgent one is %s", r.state(1, urgent))
		}
		return a.broken(r.log), true
	},
}

// upkeepScenario: the operator asks for the upkeep of machines that run a step which may miss one task.
var upkeepScenario = scenario{
	setUp: func(r *rig) {
		r.cloud = newCloud(r)
		addWorkers(r, 5)
		for _, w := range r.workers {
			r.cloud.add(w)
		}
	},
	queue: []queue{{name: "standing-check", prefix: "/check/", priority: 2}},
	play: func(r *rig, trouble bool) ([]string, bool) {
		a := availability{job: "00000000000000c1", count: 3, mayMiss: 1, startup: startupTime}
		time.Sleep(leadTime)
		if !a.submitLasting(r, "/check/", resources{CPU: 1000, MemMB: 2000, GPU: 2}, 1) {
			return nil, false
		}
		time.Sleep(4 * time.Second)
		if trouble {
			r.cloud.request(1, []string{"m-00", "m-01", "m-02", "m-03"}, 30, 1)
		}
		r.await(45*time.Second, func() bool {
			return !trouble || strings.Contains(string(r.store.newestValue("keyed.status", "wave/1")), "complete")
		})
		r.log.note("wave   status %s", r.store.newestValue("keyed.status", "wave/1"))
		time.Sleep(3 * time.Second)
		return a.broken(r.log), true
	},
}

// recordScenario: a job has many occurrences, which all are due. Afterwards other clients' jobs come.
var recordScenario = scenario{
	setUp: func(r *rig) { addWorkers(r, 4) },
	queue: []queue{{name: "standing-check", prefix: "/check/", priority: 2}, {name: "route-plan", prefix: "/plan/", priority: 1}},
	play: func(r *rig, trouble bool) ([]string, bool) {
		const (
			path     = "/check/00000000000000d1"
			plain    = "/plan/00000000000000d2"
			labelled = "00000000000000d3"
			interval = 2000
			finish   = 14 * time.Second
			// standTime is how long a job may stand beside free capacity.
			standTime = 3 * time.Second
		)
		times := 2000
		if trouble {
			times = 50000
		}
		time.Sleep(leadTime)
		need := resources{CPU: 100, MemMB: 50}
		many := map[string]any{
			"spec": text(spec{Need: need, WorkMS: 20}), "steps": []any{step(1, need, 20)},
			"times": times, "interval_ms": interval, "start_at_ms": time.Now().UnixMilli() - int64(times*interval),
		}
		if !r.submit(path, many) {
			return nil, false
		}
		r.await(60*time.Second, func() bool {
			time.Sleep(time.Second)
			starts, done, noted := r.log.counts()
			refused, largest := r.store.sizes()
			r.log.note("counts starts %d, done %d, acknowledged %d; largest record %d bytes, appends refused for their size %d", starts, done, noted, largest, refused)
			return refused > 0 || r.state(0, path) == "complete"
		})
		time.Sleep(5 * time.Second)
		needPlain := resources{CPU: 2000, MemMB: 2000}
		if !r.submit(plain, map[string]any{"spec": text(spec{Need: needPlain, WorkMS: 500}), "steps": []any{step(2, needPlain, 500)}}) {
			return nil, false
		}
		w := newWorker(r, "i-large", "m-large", "r1", workerCap)
		w.kind = "large"
		r.add(w)
		onLarge := step(1, needPlain, 500)
		onLarge["required_label"] = w.kind
		if !r.submit("/plan/"+labelled, map[string]any{"spec": text(spec{Need: needPlain, WorkMS: 500}), "steps": []any{onLarge}}) {
			return nil, false
		}
		time.Sleep(finish)
		plainState, state := r.state(0, plain), r.state(0, "/plan/"+labelled)
		r.log.note("asked  %.0f s after the last call: %s of 2 tasks, %d of them ended as done, is %s; %s is %s",
			finish.Seconds(), plain, r.log.ends("00000000000000d2", "done"), plainState, labelled, state)
		stood := true
		for end := time.Now().Add(standTime); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
			w.mu.Lock()
			twice := w.cap.covers(w.used().plus(needPlain).plus(needPlain))
			w.mu.Unlock()
			stood = stood && twice && r.underHalf() && r.log.startsOf(labelled+".0.0.0") == 0
		}
		var broken []string
		if stood {
			broken = append(broken, fmt.Sprintf("for %.0f s, %.0f s after the last call, job %s (%s) has nothing running, its turn has come, the worker that it needs has room for it twice over, and under half of the capacity is in use",
				standTime.Seconds(), finish.Seconds(), labelled, state))
		}
		starts, done, noted := r.log.counts()
		r.log.note("counts starts %d, done %d, acknowledged %d", starts, done, noted)
		return broken, true
	},
}

// adviceScenario: the settings files change, as the advice service has a new address.
var adviceScenario = scenario{
	setUp: func(r *rig) {
		addWorkers(r, 4)
		r.advice = newAdvice(r)
	},
	queue: []queue{{name: "dewar-reserve", prefix: "/reserve/", priority: 0, advice: true}},
	play: func(r *rig, trouble bool) ([]string, bool) {
		const (
			overlap = 10 * time.Second
			finish  = 14 * time.Second
		)
		time.Sleep(leadTime)
		need := resources{CPU: 3700, MemMB: 20000, GPU: 1}
		job := map[string]any{"spec": text(spec{Need: need, WorkMS: 1000, Advice: true}), "steps": []any{step(3, need, 1000)}}
		if !r.submit("/reserve/00000000000000e1", job) || !r.await(10*time.Second, func() bool { return r.state(0, "/reserve/00000000000000e1") == "complete" }) {
			return nil, false
		}
		r.log.note("job    the first one is complete")
		if trouble {
			r.moveAdvice(overlap)
		}
		time.Sleep(overlap + 2*time.Second)
		if !r.submit("/reserve/00000000000000e2", job) {
			return nil, false
		}
		time.Sleep(finish)
		state := r.state(0, "/reserve/00000000000000e2")
		r.log.note("job    the second one is %s", state)
		if ends := r.log.ends("00000000000000e2", "done"); ends < 3 {
			return []string{fmt.Sprintf("for %.0f s a job (%s) has nothing running, its turn has come, all 4 workers are idle; %d of its 3 tasks have ended as done", finish.Seconds(), state, ends)}, true
		}
		return nil, true
	},
}

// crashScenario: a task crashes each worker that starts it, a while after its start.
var crashScenario = scenario{
	setUp: func(r *rig) { addWorkers(r, 8) },
	queue: []queue{{name: "route-plan", prefix: "/plan/", priority: 1}},
	play: func(r *rig, trouble bool) ([]string, bool) {
		const (
			path        = "/plan/00000000000000f1"
			task        = "00000000000000f1.0.0.0"
			work        = 6800 * time.Millisecond
			crashAfter  = 800 * time.Millisecond
			maxCrashes  = 3
			moreStarts  = 3
			observeTime = 45 * time.Second
		)
		time.Sleep(leadTime)
		need := resources{CPU: 13000, MemMB: 53000, GPU: 1}
		s := spec{Need: need, WorkMS: int(work.Milliseconds())}
		if trouble {
			s.CrashMS = int(crashAfter.Milliseconds())
		}
		if !r.submit(path, map[string]any{"spec": text(s), "steps": []any{step(1, need, int(work.Milliseconds()))}}) {
			return nil, false
		}
		time.Sleep(observeTime)
		crashes, more := r.log.crashesOf(task, maxCrashes)
		state := r.state(0, path)
		r.log.note("job    is %s; %d workers have crashed under its task", state, crashes)
		if more >= moreStarts {
			return []string{fmt.Sprintf("the task was started %d more times after %d workers had crashed under it; the job is shown as %s", more, maxCrashes, state)}, true
		}
		return nil, true
	},
}

// kindScenario: the only worker of a kind crashes and starts again under its id, as another kind.
var kindScenario = scenario{
	setUp: func(r *rig) {
		addWorkers(r, 8)
		r.workers[0].kind = "large"
	},
	queue: []queue{{name: "route-plan", prefix: "/plan/", priority: 1}},
	play: func(r *rig, trouble bool) ([]string, bool) {
		const path = "/plan/0000000000000011"
		time.Sleep(leadTime)
		need := resources{CPU: 13000, MemMB: 53000, GPU: 8}
		s := step(1, need, 2000)
		s["required_label"] = "large"
		job := map[string]any{"spec": text(spec{Need: need, WorkMS: 2000, Label: "large"}), "steps": []any{s}}
		if !r.submit("/plan/0000000000000010", job) || !r.await(10*time.Second, func() bool { return r.state(0, "/plan/0000000000000010") == "complete" }) {
			return nil, false
		}
		first, kind := r.workers[0], "large"
		if trouble {
			kind = "plain"
		}
		_ = first.vanish()
		r.log.note("worker %s has crashed", first.id)
		time.Sleep(time.Second)
		if !r.submit(path, job) {
			return nil, false
		}
		time.Sleep(2 * time.Second)
		r.replace(first, first.id, kind, heartbeat)
		time.Sleep(8 * time.Second)
		r.log.note("job    is %s", r.state(0, path))
		return r.log.misplacements(), true
	},
}
