package main

import (
	"encoding/json"
	"net/http"
	"strings"
	"sync"
	"time"
)

// ticketTime is valid_ms of the advice service, decideTime decide_ms.
const (
	ticketTime = 3 * time.Second
	decideTime = 20 * time.Millisecond
)

// advice is a stand-in for the advice service. Every worker may run every step.
type advice struct {
	rig *rig

	mu      sync.Mutex
	tickets map[string]time.Time
	calls   int
}

func newAdvice(r *rig) *advice { return &advice{rig: r, tickets: make(map[string]time.Time)} }

func ticketOf(step, worker string) string { return step + "@" + worker }

func (a *advice) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	var o struct {
		Step    string   `json:"step"`
		Workers []string `json:"workers"`
	}
	if r.URL.Path != "/advise" || json.NewDecoder(r.Body).Decode(&o) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	time.Sleep(decideTime)
	good := [][2]string{}
	a.mu.Lock()
	for _, id := range o.Workers {
		t := ticketOf(o.Step, id)
		a.tickets[t] = time.Now().Add(ticketTime)
		good = append(good, [2]string{id, t})
	}
	a.calls++
	a.mu.Unlock()
	a.rig.log.note("sent   advice on %s for %d workers", o.Step, len(o.Workers))
	reply(w, http.StatusOK, map[string]any{"good": good, "valid_ms": ticketTime.Milliseconds()})
}

// valid reports whether a ticket holds for a task on a worker.
func (a *advice) valid(ticket, task, worker string) bool {
	step := task[:strings.LastIndexByte(task, '.')]
	a.mu.Lock()
	defer a.mu.Unlock()
	return ticket == ticketOf(step, worker) && time.Now().Before(a.tickets[ticket])
}

// moveAdvice lets the service answer at another address from now on. The settings files say so at once, and
// every process gets a SIGHUP; the old address answers for a while longer.
func (r *rig) moveAdvice(overlap time.Duration) {
	old := r.adviceServer
	r.adviceServer, r.adviceAddr = r.serve(r.advice)
	for _, n := range r.nodes {
		r.writeSettings(n)
		n.hangUp()
	}
	r.log.note("sent   settings files with the advice service at its new address, and SIGHUP to each node")
	time.AfterFunc(overlap, func() {
		_ = old.Close()
		r.log.note("advice no longer at its old address")
	})
}
