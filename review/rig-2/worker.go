package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"sync"
	"time"
)

// maxEndsListed is the number of ends that one answer lists, as PROTOCOL.md says.
const maxEndsListed = 500

// stopTime and maxLease are stop_ms and hold_max_ms.
const (
	stopTime = 100 * time.Millisecond
	maxLease = 6 * time.Second
)

type resources struct {
	CPU   int `json:"cpu"`
	MemMB int `json:"mem_mb"`
	GPU   int `json:"gpu"`
}

func (a resources) plus(b resources) resources {
	return resources{a.CPU + b.CPU, a.MemMB + b.MemMB, a.GPU + b.GPU}
}

func (a resources) covers(b resources) bool {
	return a.CPU >= b.CPU && a.MemMB >= b.MemMB && a.GPU >= b.GPU
}

// spec is the text of a job's spec in this rig: what a task of it needs and how long it works.
type spec struct {
	Need   resources `json:"need"`
	WorkMS int       `json:"work_ms"`
	// Lasts says that the task works until it is stopped. It is at work after StartupMS.
	Lasts     bool `json:"lasts,omitempty"`
	StartupMS int  `json:"startup_ms,omitempty"`
	// CrashMS is how long after its start a task crashes its worker, if it does.
	CrashMS int `json:"crash_ms,omitempty"`
	// Advice says that a start needs a ticket of the advice service.
	Advice bool `json:"advice,omitempty"`
	// Label is the required_label of its step.
	Label string `json:"label,omitempty"`
}

type run struct {
	task    string
	number  int64
	spec    spec
	started time.Time
	timer   *time.Timer
}

type ended struct {
	number int64
	task   string
	run    int64
	how    string
}

// worker is a stand-in for a worker that checks its capacity.
type worker struct {
	rig     *rig
	id      string
	machine string
	rack    string
	kind    string
	cap     resources
	addr    string
	server  *http.Server

	mu       sync.Mutex
	born     time.Time
	runs     map[string]*run
	barred   map[string]int64
	ends     []ended
	lastEnd  int64
	acked    int64
	token    int64
	leaseEnd time.Time
	lapsedAt time.Time
	lease    *time.Timer
	changed  chan struct{}
	gone     bool
	seq      int64
}

func newWorker(r *rig, id, machine, rack string, c resources) *worker {
	w := &worker{
		rig: r, id: id, machine: machine, rack: rack, kind: "plain", cap: c, born: time.Now(),
		runs: make(map[string]*run), barred: make(map[string]int64), changed: make(chan struct{}),
	}
	w.server, w.addr = r.serve(w)
	return w
}

// backAfter is how long a crashed worker is away, and entryTime how long its entry outlives it.
const (
	backAfter = 3 * time.Second
	entryTime = 3 * heartbeat
)

// crash ends the worker. Its successor comes at the same address, under another id.
func (w *worker) crash(task string) {
	if !w.vanish() {
		return
	}
	w.rig.log.note("worker %s crashes under %s", w.id, task)
	time.AfterFunc(entryTime, func() { w.rig.store.put("keyed.servers", w.id, nil) })
	time.AfterFunc(backAfter, func() { w.rig.replace(w, w.id+"n", w.kind, 0) })
}

// entry returns the worker's report about itself, nil if it is gone.
func (w *worker) entry() map[string]any {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.gone {
		return nil
	}
	w.seq++
	return map[string]any{
		"backend": poolName, "addr": w.addr, "zone": zoneName, "version": "1", "slots": 8, "state": "ready", "cold_ms": 0, "seq": w.seq,
		"capacity": w.cap, "labels": []string{w.kind, w.rack}, "born": w.born.UnixMilli(), "machine": w.machine,
	}
}

func (w *worker) clock() int64 { return time.Since(w.born).Milliseconds() }

func (w *worker) wake() {
	close(w.changed)
	w.changed = make(chan struct{})
}

// vanish ends all that runs there and answers nothing more. It reports whether the worker was there.
func (w *worker) vanish() bool {
	w.mu.Lock()
	if w.gone {
		w.mu.Unlock()
		return false
	}
	w.gone = true
	for _, x := range w.runs {
		w.rig.log.ended(w.id, x.task, x.number, "gone")
		x.timer.Stop()
	}
	w.runs = make(map[string]*run)
	w.wake()
	w.mu.Unlock()
	_ = w.server.Close()
	return true
}

type order struct {
	Task       string `json:"task"`
	Run        int64  `json:"run"`
	Spec       string `json:"spec"`
	Ticket     string `json:"ticket"`
	DeadlineMS int64  `json:"deadline_ms"`
	FenceToken int64  `json:"fence_token"`
	AckCursor  int64  `json:"ack_cursor"`
	WaitMS     int64  `json:"wait_ms"`
}

func (w *worker) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/health" {
		return
	}
	var o order
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
		rw.WriteHeader(http.StatusBadRequest)
		return
	}
	if x := r.Header.Get("X-Expect-Instance"); x != "" && x != w.id {
		rw.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if o.FenceToken < w.token {
		w.answer(rw, http.StatusConflict, map[string]any{"reason": "fence"})
		return
	}
	w.token = o.FenceToken
	switch r.URL.Path {
	case "/run-start":
		w.start(rw, o)
	case "/run-stop":
		w.stop(rw, o)
	case "/hold":
		w.hold(rw, r, o)
	case "/pace":
		w.answer(rw, http.StatusOK, map[string]any{})
	default:
		rw.WriteHeader(http.StatusNotFound)
	}
}

func (w *worker) answer(rw http.ResponseWriter, status int, v map[string]any) {
	v["clock_ms"], v["born"] = w.clock(), w.born.UnixMilli()
	reply(rw, status, v)
}

// renew extends the lease of all that runs there.
func (w *worker) renew(deadlineMS int64) {
	until := w.born.Add(time.Duration(deadlineMS) * time.Millisecond)
	if longest := time.Now().Add(maxLease); until.After(longest) {
		until = longest
	}
	if !until.After(w.leaseEnd) {
		return
	}
	w.leaseEnd = until
	if w.lease != nil {
		w.lease.Stop()
	}
	w.lease = time.AfterFunc(time.Until(until), w.lapse)
}

func (w *worker) lapse() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if time.Now().Before(w.leaseEnd) {
		return
	}
	w.lapsedAt = w.leaseEnd
	for _, x := range w.runs {
		w.end(x, "lapsed")
	}
}

func (w *worker) used() resources {
	var sum resources
	for _, x := range w.runs {
		sum = sum.plus(x.spec.Need)
	}
	return sum
}

func (w *worker) start(rw http.ResponseWriter, o order) {
	x := w.runs[o.Task]
	switch {
	case x != nil && x.number == o.Run:
		w.renew(o.DeadlineMS)
		w.answer(rw, http.StatusOK, map[string]any{})
		return
	case o.Run <= w.barred[o.Task]:
		w.renew(o.DeadlineMS)
		w.answer(rw, http.StatusConflict, map[string]any{"reason": "old"})
		return
	case o.DeadlineMS <= w.clock():
		w.answer(rw, http.StatusConflict, map[string]any{"reason": "late"})
		return
	}
	var s spec
	if err := json.Unmarshal([]byte(o.Spec), &s); err != nil {
		rw.WriteHeader(http.StatusBadRequest)
		return
	}
	if s.Advice && !w.rig.advice.valid(o.Ticket, o.Task, w.id) {
		w.answer(rw, http.StatusConflict, map[string]any{"reason": "ticket"})
		return
	}
	w.renew(o.DeadlineMS)
	if x != nil || !w.cap.covers(w.used().plus(s.Need)) {
		w.answer(rw, http.StatusConflict, map[string]any{"reason": "room"})
		return
	}
	n := &run{task: o.Task, number: o.Run, spec: s, started: time.Now()}
	w.runs[o.Task] = n
	work := time.Duration(s.WorkMS) * time.Millisecond
	if s.Lasts {
		work = time.Hour
	}
	n.timer = time.AfterFunc(work, func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		w.end(n, "done")
	})
	w.rig.log.started(w.id, o.Task, o.Run, o.FenceToken)
	if s.Label != "" && s.Label != w.kind && s.Label != w.rack {
		w.rig.log.misplace(fmt.Sprintf("%s run %d was started on %s, whose labels are %s and %s; the step requires %s", o.Task, o.Run, w.id, w.kind, w.rack, s.Label))
	}
	if s.CrashMS > 0 {
		time.AfterFunc(time.Duration(s.CrashMS)*time.Millisecond, func() { w.crash(o.Task) })
	}
	w.answer(rw, http.StatusOK, map[string]any{})
}

// end ends a run unless it has ended.
func (w *worker) end(x *run, how string) {
	if w.gone || w.runs[x.task] != x {
		return
	}
	x.timer.Stop()
	delete(w.runs, x.task)
	w.barred[x.task] = max(w.barred[x.task], x.number)
	w.lastEnd++
	w.ends = append(w.ends, ended{w.lastEnd, x.task, x.number, how})
	w.rig.log.ended(w.id, x.task, x.number, how)
	w.wake()
}

func (w *worker) stop(rw http.ResponseWriter, o order) {
	w.barred[o.Task] = max(w.barred[o.Task], o.Run)
	if x := w.runs[o.Task]; x != nil && x.number == o.Run {
		w.rig.log.stopping(w.id, o.Task, o.Run)
		time.AfterFunc(stopTime, func() {
			w.mu.Lock()
			defer w.mu.Unlock()
			w.end(x, "stopped")
		})
	}
	w.answer(rw, http.StatusOK, map[string]any{})
}

func (x *run) percent() int {
	age := time.Since(x.started).Milliseconds()
	if x.spec.Lasts {
		if age >= int64(x.spec.StartupMS) {
			return 100
		}
		return 0
	}
	return int(min(100, age*100/int64(max(x.spec.WorkMS, 1))))
}

func (w *worker) hold(rw http.ResponseWriter, r *http.Request, o order) {
	if o.DeadlineMS > 0 {
		w.renew(o.DeadlineMS)
	}
	if o.AckCursor > w.acked {
		for len(w.ends) > 0 && w.ends[0].number <= o.AckCursor {
			w.rig.log.noted(w.id, w.ends[0].task, w.ends[0].run, w.lapsedAt)
			w.ends = w.ends[1:]
		}
		w.acked = o.AckCursor
	}
	timeout := time.NewTimer(time.Duration(min(o.WaitMS, 2000)) * time.Millisecond)
	defer timeout.Stop()
	for len(w.ends) == 0 && o.WaitMS > 0 {
		changed := w.changed
		w.mu.Unlock()
		var over bool
		select {
		case <-changed:
		case <-timeout.C:
			over = true
		case <-r.Context().Done():
			over = true
		}
		w.mu.Lock()
		if over || w.gone {
			break
		}
	}
	running, ends := [][]any{}, [][]any{}
	for _, x := range w.runs {
		running = append(running, []any{x.task, x.number, "", x.percent(), 0})
	}
	slices.SortFunc(running, func(a, b []any) int {
		if a[0].(string) < b[0].(string) {
			return -1
		}
		return 1
	})
	for _, e := range w.ends[:min(len(w.ends), maxEndsListed)] {
		ends = append(ends, []any{e.number, e.task, e.run, e.how, ""})
	}
	w.answer(rw, http.StatusOK, map[string]any{"running": running, "ended": ends})
}
