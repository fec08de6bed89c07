package soak

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync"
	"time"

	"coltsfootmux/internal/job"
	"coltsfootmux/internal/standin/fleet"
)

// Timing of callers.
const (
	// callTimeout is the time limit of a call, also sent as its deadline.
	callTimeout = 3 * time.Second
	retryDelay  = 400 * time.Millisecond
	maxAttempts = 5
	// deadlyEvery is the number of jobs for each whose task crashes its workers.
	deadlyEvery = 30
	// visibleAfter is how long after its acceptance a job must be known on every machine.
	visibleAfter = 3 * time.Second
)

// submittedJob is a job and the answers that its caller received.
type submittedJob struct {
	id       string
	path     string
	key      string
	accepted time.Time
	// outcomeUnknown means that some attempt to submit the job was neither accepted nor refused.
	outcomeUnknown bool
	cancelled      bool
	// cancelUnknown means that a cancellation was neither accepted nor refused.
	cancelUnknown bool
	complete      bool
	// deadly jobs have a task that crashes its workers. They are to fail.
	deadly bool
	// failing jobs have a task of which each run fails. They are to fail.
	failing bool
	// lasting jobs run until they are cancelled.
	lasting bool
}

// callers submits jobs, queries them and records the answers.
type callers struct {
	bed      *testbed
	client   *http.Client
	liveness *liveness

	mu         sync.Mutex
	jobs       []*submittedJob
	violations []string
	wg         sync.WaitGroup
}

func newCallers(bed *testbed) *callers {
	c := &callers{bed: bed, client: &http.Client{Timeout: callTimeout}}
	c.liveness = newLiveness(c)
	return c
}

func (c *callers) violationf(format string, args ...any) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.violations = append(c.violations, fmt.Sprintf(format, args...))
}

// runCaller plays one caller: it submits a job, retrying if needed, and then follows it.
func (c *callers) runCaller(rng *rand.Rand, key string) {
	defer c.wg.Done()
	j, body := c.newJob(rng, key)
	if c.submit(rng, j, body) {
		c.followJob(rng, j)
	}
}

// submit submits a job, retrying if needed, and reports whether it was accepted.
func (c *callers) submit(rng *rand.Rand, j *submittedJob, body []byte) bool {
	for range maxAttempts {
		status := c.call(rng, http.MethodPost, j, body, nil)
		switch {
		case status == http.StatusOK:
			j.accepted = time.Now()
			c.watch(j)
			return true
		case status != http.StatusTooManyRequests && status != http.StatusServiceUnavailable:
			j.outcomeUnknown = true
		}
		time.Sleep(retryDelay)
	}
	return false
}

// watch has an accepted job go on without delay, unless its task crashes its workers.
func (c *callers) watch(j *submittedJob) {
	if !j.deadly {
		c.liveness.accepted(j)
	}
}

// followJob queries the job until it ends, or cancels it, and checks the answers.
func (c *callers) followJob(rng *rand.Rand, j *submittedJob) {
	if rng.IntN(8) == 0 {
		time.Sleep(time.Duration(rng.IntN(800)) * time.Millisecond)
		c.liveness.over(j)
		switch c.call(rng, http.MethodDelete, j, nil, nil) {
		case http.StatusOK:
			j.cancelled = true
			return
		case http.StatusTooManyRequests, http.StatusServiceUnavailable:
		default:
			j.cancelUnknown = true
		}
	}
	followTime := c.bed.opts.LoadTime
	if j.lasting && c.bed.opts.calmLoad() {
		followTime = min(followTime, unfitTime)
	}
	for end := time.Now().Add(followTime); time.Now().Before(end) && !j.complete && !j.cancelled; {
		time.Sleep(time.Duration(300+rng.IntN(900)) * time.Millisecond)
		c.checkState(rng, j)
	}
	for end := time.Now().Add(c.bed.opts.SettleTime); j.lasting && time.Now().Before(end) && !j.cancelled; time.Sleep(retryDelay) {
		c.liveness.over(j)
		j.cancelUnknown = true
		j.cancelled = c.call(rng, http.MethodDelete, j, nil, nil) == http.StatusOK
	}
}

// checkState queries the job once. It is a violation if an accepted job is unknown
// or failed, or if it is cancelled without a request.
func (c *callers) checkState(rng *rand.Rand, j *submittedJob) {
	var state struct{ State string }
	defer func() {
		if j.complete || j.cancelled {
			c.liveness.over(j)
		}
	}()
	switch status := c.call(rng, http.MethodGet, j, nil, &state); {
	case status == http.StatusGone && time.Since(j.accepted) > visibleAfter:
		c.violationf("job %s accepted %v ago is unknown", j.id, time.Since(j.accepted))
	case status == http.StatusOK && state.State == "failed" && !j.lasting && (j.deadly || c.mayBeGivenUp(j)):
		j.complete = true
	case status == http.StatusOK && state.State == "failed":
		c.violationf("job %s is reported as failed", j.id)
	case status == http.StatusOK && state.State == "complete" && j.lasting:
		c.violationf("job %s is reported as complete, and its task has no end", j.id)
	case status == http.StatusOK && state.State == "complete" && j.failing:
		c.violationf("job %s is reported as complete, and a task of it always fails", j.id)
	case status == http.StatusOK && state.State == "complete" && j.deadly:
		c.violationf("job %s is reported as complete, and its task crashes each worker", j.id)
	case status == http.StatusOK && state.State == "complete":
		j.complete = true
	case status == http.StatusOK && state.State == "cancelled" && j.cancelUnknown:
		j.cancelled = true
	case status == http.StatusOK && state.State == "cancelled":
		c.violationf("job %s is reported as cancelled without a request", j.id)
	}
}

// crashesUntilGivenUp is the number of workers that must have crashed under a task before its
// job may be given up.
const crashesUntilGivenUp = 2

// mayBeGivenUp reports whether so many workers have crashed under a task of the job, or it has
// failed as often as it may.
func (c *callers) mayBeGivenUp(j *submittedJob) (ok bool) {
	c.bed.fleet.With(func(f *fleet.Fleet) {
		ok = f.CrashesUnder(job.ID(j.id)) >= crashesUntilGivenUp || f.HasFailed(job.ID(j.id))
	})
	return ok
}

// call makes a call to a random machine.
func (c *callers) call(rng *rand.Rand, method string, j *submittedJob, body []byte, result any) int {
	machines := c.bed.inService()
	return c.callMachine(machines[rng.IntN(len(machines))], method, j, body, result)
}

// callMachine makes a call and returns its status, or 0 if there was no complete answer.
func (c *callers) callMachine(m *machine, method string, j *submittedJob, body []byte, result any) int {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	kills, sent := m.kills.Load(), time.Time{}
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{WroteRequest: func(httptrace.WroteRequestInfo) { sent = time.Now() }})
	req, err := http.NewRequestWithContext(ctx, method, "http://"+m.callerAddr+j.path, bytes.NewReader(body))
	if err != nil {
		return 0
	}
	req.Host = "jobs.example"
	req.Header.Set("Authorization", "Bearer "+j.key)
	req.Header.Set("X-Deadline-Ms", "3000")
	res, err := c.client.Do(req)
	if err != nil {
		c.checkCut(m, kills, sent, err)
		return 0
	}
	defer func() { _ = res.Body.Close() }()
	b, err := io.ReadAll(res.Body)
	if err != nil {
		c.checkCut(m, kills, sent, err)
		return 0
	}
	if result != nil && res.StatusCode == http.StatusOK {
		if err := json.Unmarshal(b, result); err != nil {
			c.violationf("answer of %s: %q", j.id, b)
		}
	}
	return res.StatusCode
}

// cutSlack is how long after it was sent a request may be cut that arrives on a connection
// that is being closed.
const cutSlack = 200 * time.Millisecond

// checkCut records a request that ended without an answer although nobody killed the process.
func (c *callers) checkCut(m *machine, kills int64, sent time.Time, err error) {
	var timeout net.Error
	if sent.IsZero() || errors.As(err, &timeout) && timeout.Timeout() || m.kills.Load() != kills {
		return
	}
	if open := time.Since(sent); open > cutSlack {
		c.violationf("a request to %s was cut after %v: %v", m.name, open, err)
	}
}
