package main

import (
	"cmp"
	"encoding/json"
	"fmt"
	"maps"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Times of a worker, as a small deployment has them.
const (
	maxLease    = 6 * time.Second
	heartbeat   = 1500 * time.Millisecond
	startupTime = 200 * time.Millisecond
	tick        = 10 * time.Millisecond
)

// resources are what a task needs or a worker has.
type resources struct {
	CPU   int `json:"cpu"`
	MemMB int `json:"mem_mb"`
	GPU   int `json:"gpu"`
}

// reach says how a worker can be reached.
type reach int

const (
	reachable reach = iota
	// silent workers run on, take in what is sent and answer nothing.
	silent
	// refusing workers run on; their connections are reset and new ones are refused.
	refusing
	// ended is a process that is gone: nothing runs, and connections are refused.
	ended
)

// run is a run of a task on a worker.
type run struct {
	task   string
	number int64
	began  time.Time
	spec   workSpec
}

// endedRow is a row of a worker's list of ends.
type endedRow struct {
	n    int64
	task string
	run  int64
	how  string
}

// worker is one machine's worker. Its lives follow each other at one address.
type worker struct {
	bed  *bed
	name string
	addr string
	rack string

	mu sync.Mutex
	// id and kind belong to the present life.
	id, kind string
	state    string
	remains  time.Duration
	capacity resources
	born     time.Time
	fence    int64
	leaseEnd time.Duration
	runs     []*run
	ends     []endedRow
	lastEnd  int64
	barred   map[string]int64
	reach    reach
	// storeCut keeps the worker's heartbeats from the store.
	storeCut bool
	// refusesStarts makes the worker answer starts with 503, as an unhealthy one does.
	refusesStarts bool
	seq           int
	lastBeat      time.Time
	listed        bool
	life          int
	ln            net.Listener
	conns         map[net.Conn]http.ConnState
	ended         chan struct{}
}

func (w *worker) clock() time.Duration { return time.Since(w.born) }

// begin starts a new life, which knows nothing of the one before.
func (w *worker) begin(id, kind string) error {
	w.mu.Lock()
	if old := w.id; w.listed && old != id {
		// The entry of the former life goes after three heartbeats of silence.
		time.AfterFunc(3*heartbeat-time.Since(w.lastBeat), func() {
			w.bed.rec.notef("the store removes the entry of %s (%s): silent for three heartbeats", w.name, old)
			w.bed.putEntry(old, nil)
		})
	}
	w.life++
	w.id, w.kind, w.state, w.born = id, kind, "ready", time.Now()
	w.fence, w.leaseEnd, w.runs, w.ends, w.lastEnd, w.seq = 0, 0, nil, nil, 0, 0
	w.barred = make(map[string]int64)
	w.storeCut = false
	w.bed.rec.notef("worker %s begins life %d as %s, kind %s", w.name, w.life, id, kind)
	w.mu.Unlock()
	w.beat()
	return w.listen()
}

func (w *worker) listen() error {
	ln, err := net.Listen("tcp", w.addr)
	if err != nil {
		return err
	}
	w.mu.Lock()
	w.ln, w.reach = ln, reachable
	w.mu.Unlock()
	srv := &http.Server{Handler: w, ReadHeaderTimeout: time.Minute, ConnState: func(c net.Conn, s http.ConnState) {
		w.mu.Lock()
		defer w.mu.Unlock()
		if s == http.StateClosed || s == http.StateHijacked {
			delete(w.conns, c)
		} else {
			w.conns[c] = s
		}
	}}
	go func() { _ = srv.Serve(ln) }()
	return nil
}

// setReach changes how the worker can be reached.
func (w *worker) setReach(to reach) {
	w.mu.Lock()
	from := w.reach
	w.reach = to
	if to == ended {
		for _, r := range w.runs {
			w.bed.finished(w, r.task, r.number)
		}
		w.runs = nil
	}
	w.bed.rec.notef("worker %s: reach %s", w.name, [...]string{"reachable", "silent", "refusing", "ended"}[to])
	w.mu.Unlock()
	switch {
	case to == refusing || to == ended:
		_ = w.ln.Close()
		w.resetConns()
	case to == reachable && from == refusing:
		if err := w.listen(); err != nil {
			w.bed.rec.notef("worker %s can't listen again: %v", w.name, err)
		}
	}
}

// resetConns resets the open connections.
func (w *worker) resetConns() {
	w.mu.Lock()
	defer w.mu.Unlock()
	for c := range w.conns {
		reset(c)
	}
	clear(w.conns)
}

// resetHalf resets half of the open connections, those with a call in progress first.
func (w *worker) resetHalf() {
	w.mu.Lock()
	defer w.mu.Unlock()
	all := slices.SortedFunc(maps.Keys(w.conns), func(a, b net.Conn) int {
		return cmp.Compare(rank(w.conns[a]), rank(w.conns[b]))
	})
	n := (len(all) + 1) / 2
	w.bed.rec.notef("%d of the %d connections to %s are reset", n, len(all), w.name)
	for _, c := range all[:n] {
		reset(c)
		delete(w.conns, c)
	}
}

func rank(s http.ConnState) int {
	if s == http.StateActive {
		return 0
	}
	return 1
}

func reset(c net.Conn) {
	if t, ok := c.(*net.TCPConn); ok {
		_ = t.SetLinger(0)
	}
	_ = c.Close()
}

// beat writes the worker's entry to the store.
func (w *worker) beat() {
	w.mu.Lock()
	w.seq++
	born := w.born.UnixMilli()
	entry := map[string]any{
		"backend": pool, "addr": w.addr, "zone": "z0", "version": "v1", "slots": 8, "state": w.state, "cold_ms": 0, "seq": w.seq,
		"capacity": w.capacity, "labels": []string{w.kind, w.rack}, "born": born, "machine": w.name,
	}
	if w.state == "draining" {
		entry["remaining_ms"] = w.remains.Milliseconds()
	}
	id := w.id
	w.lastBeat, w.listed = time.Now(), true
	w.mu.Unlock()
	b, _ := json.Marshal(entry)
	w.bed.putEntry(id, b)
}

// run lets the worker's time pass until stop is closed.
func (w *worker) run(stop <-chan struct{}) {
	t := time.NewTicker(tick)
	defer t.Stop()
	for {
		select {
		case <-stop:
			return
		case <-t.C:
		}
		w.advance()
		w.mu.Lock()
		due := w.reach != ended && !w.storeCut && time.Since(w.lastBeat) >= heartbeat
		lapsed := w.listed && time.Since(w.lastBeat) >= 3*heartbeat
		id := w.id
		w.listed = w.listed && !lapsed
		w.mu.Unlock()
		if due {
			w.beat()
		}
		if lapsed {
			w.bed.rec.notef("the store removes the entry of %s (%s): silent for three heartbeats", w.name, id)
			w.bed.putEntry(id, nil)
		}
	}
}

// advance ends the runs whose work is done or whose lease has expired.
func (w *worker) advance() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if len(w.runs) > 0 && w.clock() > w.leaseEnd {
		for _, r := range slices.Clone(w.runs) {
			w.end(r, "lapsed")
		}
	}
	for _, r := range slices.Clone(w.runs) {
		switch age := time.Since(r.began); {
		case r.spec.Fail > 0 && age >= time.Duration(r.spec.Fail)*time.Millisecond:
			w.end(r, "failed")
		case r.spec.Work > 0 && age >= r.spec.work():
			w.end(r, "done")
		}
	}
}

func (w *worker) end(r *run, how string) {
	w.runs = slices.DeleteFunc(w.runs, func(o *run) bool { return o == r })
	w.lastEnd++
	w.ends = append(w.ends, endedRow{w.lastEnd, r.task, r.number, how})
	w.barred[r.task] = max(w.barred[r.task], r.number)
	w.bed.rec.notef("run %s %d ended on %s: %s", r.task, r.number, w.name, how)
	w.bed.finished(w, r.task, r.number)
	close(w.ended)
	w.ended = make(chan struct{})
}

// order is the body of any order.
type order struct {
	Task       string `json:"task"`
	Run        int64  `json:"run"`
	Spec       string `json:"spec"`
	DeadlineMS int64  `json:"deadline_ms"`
	FenceToken int64  `json:"fence_token"`
	AckCursor  int64  `json:"ack_cursor"`
	WaitMS     int64  `json:"wait_ms"`
}

// ServeHTTP carries out an order.
func (w *worker) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	var o order
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
		rw.WriteHeader(http.StatusBadRequest)
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	life := w.life
	if !w.answers(life) {
		w.hang(r)
	}
	if expect := r.Header.Get("X-Expect-Instance"); expect != "" && expect != w.id {
		rw.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if o.FenceToken < w.fence {
		w.bed.rec.notef("%s on %s refused: token %d, seen %d", r.URL.Path, w.name, o.FenceToken, w.fence)
		w.answer(rw, http.StatusConflict, map[string]any{"reason": "fence"})
		return
	}
	w.fence = o.FenceToken
	if o.DeadlineMS > 0 {
		w.leaseEnd = max(w.leaseEnd, min(time.Duration(o.DeadlineMS)*time.Millisecond, w.clock()+maxLease))
	}
	switch r.URL.Path {
	case "/run-start":
		status, body := w.start(o)
		w.bed.rec.notef("start of %s %d on %s, token %d: %d %v", o.Task, o.Run, w.name, o.FenceToken, status, body["reason"])
		w.answer(rw, status, body)
	case "/run-stop":
		w.barred[o.Task] = max(w.barred[o.Task], o.Run)
		w.bed.rec.notef("stop of %s %d on %s, token %d", o.Task, o.Run, w.name, o.FenceToken)
		if have := w.find(o.Task, o.Run); have != nil {
			w.bed.stopped(w, have)
			w.end(have, "stopped")
		}
		w.answer(rw, http.StatusOK, map[string]any{})
	case "/hold":
		w.hold(rw, r, o, life)
	case "/pace":
		w.answer(rw, http.StatusOK, map[string]any{})
	default:
		rw.WriteHeader(http.StatusNotFound)
	}
}

func (w *worker) answers(life int) bool { return w.reach == reachable && w.life == life }

// hang keeps a call unanswered until its connection ends.
func (w *worker) hang(r *http.Request) {
	w.mu.Unlock()
	<-r.Context().Done()
	w.mu.Lock()
	panic(http.ErrAbortHandler)
}

func (w *worker) answer(rw http.ResponseWriter, status int, body map[string]any) {
	body["clock_ms"] = w.clock().Milliseconds()
	b, _ := json.Marshal(body)
	rw.Header().Set("Content-Type", "application/json")
	rw.Header().Set("Content-Length", strconv.Itoa(len(b)))
	rw.WriteHeader(status)
	_, _ = rw.Write(b)
}

func (w *worker) find(task string, number int64) *run {
	for _, r := range w.runs {
		if r.task == task && r.number == number {
			return r
		}
	}
	return nil
}

func (w *worker) start(o order) (status int, body map[string]any) {
	refuse := func(reason string) (int, map[string]any) {
		return http.StatusConflict, map[string]any{"reason": reason}
	}
	if w.find(o.Task, o.Run) != nil {
		return http.StatusOK, map[string]any{}
	}
	spec, err := parseSpec(o.Spec)
	switch {
	case err != nil:
		return http.StatusBadRequest, map[string]any{}
	case w.refusesStarts:
		return http.StatusServiceUnavailable, map[string]any{}
	case w.barred[o.Task] >= o.Run:
		return refuse("old")
	case time.Duration(o.DeadlineMS)*time.Millisecond < w.clock():
		return refuse("late")
	case !w.hasRoom(spec):
		return refuse("room")
	}
	w.runs = append(w.runs, &run{task: o.Task, number: o.Run, began: time.Now(), spec: spec})
	w.bed.started(w, o, spec)
	return http.StatusOK, map[string]any{}
}

func (w *worker) hasRoom(s workSpec) bool {
	free := w.capacity
	for _, r := range w.runs {
		free.CPU, free.MemMB, free.GPU = free.CPU-r.spec.CPU, free.MemMB-r.spec.MemMB, free.GPU-r.spec.GPU
	}
	return free.CPU >= s.CPU && free.MemMB >= s.MemMB && free.GPU >= s.GPU
}

// hold answers with the lists, at once if an end is listed, otherwise when one comes or the
// wait is over.
func (w *worker) hold(rw http.ResponseWriter, r *http.Request, o order, life int) {
	for _, e := range w.ends {
		// A lease that lapses before the end is acknowledged excuses a further start.
		if e.n <= o.AckCursor && e.how == "done" && w.clock() <= w.leaseEnd {
			w.bed.noted(w, e.task, e.run)
		}
	}
	w.ends = slices.DeleteFunc(w.ends, func(e endedRow) bool { return e.n <= o.AckCursor })
	until := time.Now().Add(min(time.Duration(o.WaitMS)*time.Millisecond, 2*time.Second))
	for len(w.ends) == 0 && time.Now().Before(until) {
		ended := w.ended
		w.mu.Unlock()
		select {
		case <-ended:
		case <-time.After(time.Until(until)):
		case <-r.Context().Done():
		}
		w.mu.Lock()
		if !w.answers(life) {
			w.hang(r)
		}
	}
	running, ends := [][]any{}, [][]any{}
	for _, x := range w.runs {
		running = append(running, []any{x.task, x.number, "", x.percent(), x.spec.CPU})
	}
	for _, x := range w.ends {
		ends = append(ends, []any{x.n, x.task, x.run, x.how, ""})
	}
	w.answer(rw, http.StatusOK, map[string]any{"born": w.born.UnixMilli(), "running": running, "ended": ends})
}

func (r *run) percent() int {
	age := time.Since(r.began)
	if r.spec.Work == 0 {
		if age < startupTime {
			return 0
		}
		return 100
	}
	return min(99, int(100*age/r.spec.work()))
}

// workSpec is what the stand-in reads from a job's spec: how long its tasks work (0: until they
// are stopped) and after which time they fail (0: never), in ms, and what each needs.
type workSpec struct {
	Work, Fail int
	resources
	// MayMiss is the step's may_miss, 0 if it has none.
	MayMiss int
	Label   string
}

func (s workSpec) work() time.Duration { return time.Duration(s.Work) * time.Millisecond }

func (s workSpec) String() string {
	return fmt.Sprintf("%d %d %d %d %d %d %s", s.Work, s.Fail, s.CPU, s.MemMB, s.GPU, s.MayMiss, s.Label)
}

func parseSpec(text string) (s workSpec, err error) {
	_, err = fmt.Sscanf(strings.TrimSpace(text), "%d %d %d %d %d %d %s", &s.Work, &s.Fail, &s.CPU, &s.MemMB, &s.GPU, &s.MayMiss, &s.Label)
	return s, err
}

// setStoreCut cuts the worker off from the store, or ends that.
func (w *worker) setStoreCut(cut bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.storeCut = cut
}

// sinceBeat returns how long ago the worker last wrote its entry.
func (w *worker) sinceBeat() time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	return time.Since(w.lastBeat)
}

// drain reports that the worker leaves, after the given time at least.
func (w *worker) drain(remains time.Duration) {
	w.mu.Lock()
	w.state, w.remains = "draining", remains
	w.bed.rec.notef("worker %s drains", w.name)
	w.mu.Unlock()
	w.beat()
}
