package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// upkeepTime is upkeep_s of the deployment.
const upkeepTime = 2 * time.Second

// cloud is a stand-in for the platform's machines. Each machine has one worker at a time.
type cloud struct {
	rig *rig

	mu       sync.Mutex
	machines []*cloudMachine
	waves    map[int64][]string
	// begun is called with the machine and the time of each upkeep, before its worker goes.
	begun func(machine string)
}

type cloudMachine struct {
	name   string
	worker *worker
	lives  int
	token  int64
	up     bool
	had    map[int64]bool
}

func newCloud(r *rig) *cloud {
	return &cloud{rig: r, waves: make(map[int64][]string), begun: func(string) {}}
}

func (c *cloud) add(w *worker) {
	c.machines = append(c.machines, &cloudMachine{name: w.machine, worker: w, lives: 1, up: true, had: make(map[int64]bool)})
}

// report writes the entries of all workers that are there.
func (c *cloud) report() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, m := range c.machines {
		if m.up {
			c.rig.store.put("keyed.servers", m.worker.id, m.worker.entry())
		}
	}
}

// request writes a wave as the operator.
func (c *cloud) request(wave int64, machines []string, overS float64, limit int) {
	c.mu.Lock()
	c.waves[wave] = machines
	c.mu.Unlock()
	c.rig.store.put("keyed.op", fmt.Sprintf("wave/%d", wave), map[string]any{"wave": wave, "machines": machines, "over_s": overS, "cap": limit})
	c.rig.log.note("sent   wave %d of %v over %g s, at most %d at once", wave, machines, overS, limit)
}

func (c *cloud) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	var o struct {
		Machine string `json:"machine"`
		Wave    int64  `json:"wave"`
	}
	if r.Method != http.MethodPost || r.URL.Path != "/machine-upkeep" || json.NewDecoder(r.Body).Decode(&o) != nil {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	token, _ := strconv.ParseInt(r.Header.Get("X-Fence-Token"), 10, 64)
	status, reason := c.upkeep(o.Machine, o.Wave, token)
	c.rig.log.note("sent   upkeep of %s by %s with token %d, answered %d %s", o.Machine, r.Header.Get("X-Holder"), token, status, reason)
	reply(w, status, map[string]any{"reason": reason})
}

func (c *cloud) upkeep(machine string, wave, token int64) (status int, reason string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, m := range c.machines {
		if m.name != machine {
			continue
		}
		ofWave := false
		for _, name := range c.waves[wave] {
			ofWave = ofWave || name == machine
		}
		switch {
		case token < m.token:
			return http.StatusConflict, "fence"
		case !ofWave:
			return http.StatusConflict, "wave"
		case m.had[wave]:
			m.token = token
			return http.StatusOK, ""
		case !m.up:
			return http.StatusConflict, "busy"
		}
		m.token, m.up, m.had[wave] = token, false, true
		c.begun(m.name)
		old := m.worker
		_ = old.vanish()
		c.rig.store.put("keyed.servers", old.id, nil)
		time.AfterFunc(upkeepTime, func() { c.back(m) })
		return http.StatusOK, ""
	}
	return http.StatusBadRequest, ""
}

// back lets a new worker join the pool.
func (c *cloud) back(m *cloudMachine) {
	c.mu.Lock()
	defer c.mu.Unlock()
	m.lives++
	m.worker = newWorker(c.rig, fmt.Sprintf("%s-life%d", m.name, m.lives), m.name, m.worker.rack, m.worker.cap)
	m.up = true
	c.rig.store.put("keyed.servers", m.worker.id, m.worker.entry())
	c.rig.log.note("worker %s is back as %s", m.name, m.worker.id)
}
