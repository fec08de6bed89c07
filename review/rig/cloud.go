package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// upkeepTime is how long a machine is down for its upkeep.
const upkeepTime = 2 * time.Second

// cloud is the platform's cloud service with one wave of upkeep.
type cloud struct {
	bed  *bed
	addr string
	cap  int

	mu sync.Mutex
	// begun holds the machines whose upkeep has begun, down those that are down for it.
	begun, down map[string]bool
	fences      map[string]int64
}

// startCloud serves a cloud service for a wave in which at most limit machines may be down.
func (b *bed) startCloud(limit int) (*cloud, error) {
	ln, err := b.host.Listen()
	if err != nil {
		return nil, err
	}
	c := &cloud{bed: b, addr: ln.Addr().String(), cap: limit, begun: make(map[string]bool), down: make(map[string]bool), fences: make(map[string]int64)}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /machine-upkeep", c.upkeep)
	srv := &http.Server{Handler: mux, ReadHeaderTimeout: time.Minute}
	go func() { _ = srv.Serve(ln) }()
	return c, nil
}

func (c *cloud) upkeep(rw http.ResponseWriter, r *http.Request) {
	var in struct {
		Machine string `json:"machine"`
		Wave    int64  `json:"wave"`
	}
	if err := json.NewDecoder(r.Body).Decode(&in); err != nil {
		rw.WriteHeader(http.StatusBadRequest)
		return
	}
	token, _ := strconv.ParseInt(r.Header.Get("X-Fence-Token"), 10, 64)
	status, reason := c.order(in.Machine, token)
	c.bed.rec.notef("upkeep of %s ordered by %s, token %d: %d %s", in.Machine, r.Header.Get("X-Holder"), token, status, reason)
	rw.Header().Set("Content-Type", "application/json")
	rw.WriteHeader(status)
	_ = json.NewEncoder(rw).Encode(map[string]string{"reason": reason})
}

func (c *cloud) order(machine string, token int64) (status int, reason string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	w := c.bed.machine(machine)
	switch {
	case w == nil:
		return http.StatusBadRequest, ""
	case token < c.fences[machine]:
		return http.StatusConflict, "fence"
	}
	c.fences[machine] = token
	switch {
	case c.down[machine]:
		return http.StatusConflict, "busy"
	case c.begun[machine]:
		return http.StatusOK, ""
	}
	if len(c.down) >= c.cap {
		c.bed.rec.brokenf("LIMIT: the upkeep of %s begins while %d machines of its wave are down for theirs; at most %d may be", machine, len(c.down), c.cap)
	}
	c.begun[machine], c.down[machine] = true, true
	go c.carryOut(w)
	return http.StatusOK, ""
}

// carryOut ends the worker of a machine, and starts a new one after the upkeep.
func (c *cloud) carryOut(w *worker) {
	old := w.id
	w.setStoreCut(true)
	w.setReach(ended)
	c.bed.putEntry(old, nil)
	time.Sleep(upkeepTime)
	if err := w.begin(fmt.Sprintf("%s-after", old), w.kind); err != nil {
		c.bed.rec.notef("%s does not come back: %v", w.name, err)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.down, w.name)
}

// downCount returns how many machines are down for their upkeep.
func (c *cloud) downCount() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.down)
}

func (b *bed) machine(name string) *worker {
	for _, w := range b.workers {
		if w.name == name {
			return w
		}
	}
	return nil
}
