package soak

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"coltsfootmux/internal/job"
)

// Times of callers.
const (
	callTime   = 3 * time.Second
	tryPause   = 400 * time.Millisecond
	tries      = 5
	knownAfter = 3 * time.Second
)

// order is one job and what its caller was told.
type order struct {
	id       string
	path     string
	accepted time.Time
	// unclear says that some try had neither an acceptance nor a refusal.
	unclear   bool
	cancelled bool
	// mayCancel says that a cancellation had neither an acceptance nor a refusal.
	mayCancel bool
	complete  bool
}

// callers sends jobs, asks for them and keeps what they were told.
type callers struct {
	s      *site
	client *http.Client

	mu     sync.Mutex
	orders []*order
	faults []string
	wg     sync.WaitGroup
}

func newCallers(s *site) *callers {
	return &callers{s: s, client: &http.Client{Timeout: callTime}}
}

func (c *callers) fault(format string, args ...any) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.faults = append(c.faults, fmt.Sprintf(format, args...))
}

// one is one caller's whole story.
func (c *callers) one(rng *rand.Rand) {
	defer c.wg.Done()
	o, body := c.draw(rng)
	for range tries {
		status := c.call(rng, http.MethodPost, o, body, nil)
		switch {
		case status == http.StatusOK:
			o.accepted = time.Now()
			c.follow(rng, o)
			return
		case status != http.StatusTooManyRequests && status != http.StatusServiceUnavailable:
			o.unclear = true
		}
		time.Sleep(tryPause)
	}
}

// draw makes a job and tells the fleet what was asked for.
func (c *callers) draw(rng *rand.Rand) (*order, []byte) {
	prefix := [...]string{"/q/", "/u/"}[rng.IntN(2)]
	o := &order{id: fmt.Sprintf("%016x", rng.Uint64())}
	o.path = prefix + o.id
	type step struct {
		Count       int   `json:"count"`
		CPU         int   `json:"cpu"`
		GPU         int   `json:"gpu"`
		EstMS       int   `json:"est_ms"`
		Gang        bool  `json:"gang,omitempty"`
		Checkpoints bool  `json:"checkpoints,omitempty"`
		After       []int `json:"after,omitempty"`
	}
	steps := []step{{Count: 1 + rng.IntN(5), CPU: 500, GPU: rng.IntN(3), EstMS: 500, Gang: rng.IntN(3) == 0, Checkpoints: rng.IntN(2) == 0}}
	if rng.IntN(3) == 0 {
		steps = append(steps, step{Count: 2, CPU: 200, EstMS: 300, After: []int{0}})
	}
	j := &job.Job{ID: job.ID(o.id), Spec: "soak"}
	for _, s := range steps {
		j.Steps = append(j.Steps, job.Step{Count: s.Count, CPU: s.CPU, GPU: s.GPU, Gang: s.Gang, Checkpoints: s.Checkpoints, After: s.After})
	}
	c.s.fleet.Submit(j)
	body, err := json.Marshal(map[string]any{"spec": "soak", "steps": steps})
	if err != nil {
		c.fault("body of %s: %v", o.id, err)
	}
	c.mu.Lock()
	c.orders = append(c.orders, o)
	c.mu.Unlock()
	return o, body
}

// follow asks for the job's state, or cancels it, and checks the answers.
func (c *callers) follow(rng *rand.Rand, o *order) {
	if rng.IntN(8) == 0 {
		time.Sleep(time.Duration(rng.IntN(800)) * time.Millisecond)
		switch c.call(rng, http.MethodDelete, o, nil, nil) {
		case http.StatusOK:
			o.cancelled = true
			return
		case http.StatusTooManyRequests, http.StatusServiceUnavailable:
		default:
			o.mayCancel = true
		}
	}
	for end := time.Now().Add(c.s.o.LoadTime); time.Now().Before(end) && !o.complete && !o.cancelled; {
		time.Sleep(time.Duration(300+rng.IntN(900)) * time.Millisecond)
		c.ask(rng, o)
	}
}

// ask asks once; it is a fault when an accepted job is not known or has failed.
func (c *callers) ask(rng *rand.Rand, o *order) {
	var state struct{ State string }
	switch status := c.call(rng, http.MethodGet, o, nil, &state); {
	case status == http.StatusGone && time.Since(o.accepted) > knownAfter:
		c.fault("job %s accepted %v ago is not known", o.id, time.Since(o.accepted))
	case status == http.StatusOK && state.State == "failed":
		c.fault("job %s is shown as failed", o.id)
	case status == http.StatusOK && state.State == "complete":
		o.complete = true
	case status == http.StatusOK && state.State == "cancelled" && o.mayCancel:
		o.cancelled = true
	case status == http.StatusOK && state.State == "cancelled":
		c.fault("job %s is shown as cancelled, which nobody asked for", o.id)
	}
}

// call makes a call to a machine of the caller's choice and gives its status, 0
// for no answer.
func (c *callers) call(rng *rand.Rand, method string, o *order, body []byte, into any) int {
	m := c.s.machines[rng.IntN(len(c.s.machines))]
	ctx, cancel := context.WithTimeout(context.Background(), callTime)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+m.front+o.path, bytes.NewReader(body))
	if err != nil {
		return 0
	}
	req.Host = "jobs.example"
	req.Header.Set("Authorization", "Bearer key-1")
	req.Header.Set("X-Deadline-Ms", "3000")
	res, err := c.client.Do(req)
	if err != nil {
		return 0
	}
	defer func() { _ = res.Body.Close() }()
	b, err := io.ReadAll(res.Body)
	if err != nil {
		return 0
	}
	if into != nil && res.StatusCode == http.StatusOK {
		if err := json.Unmarshal(b, into); err != nil {
			c.fault("answer of %s: %q", o.id, b)
		}
	}
	return res.StatusCode
}
