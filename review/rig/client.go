package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"
)

// step is a step of a job as clients send it.
type step struct {
	Count         int    `json:"count"`
	CPU           int    `json:"cpu"`
	MemMB         int    `json:"mem_mb"`
	GPU           int    `json:"gpu"`
	EstMS         int    `json:"est_ms"`
	LongRunning   bool   `json:"long_running,omitempty"`
	RequiredLabel string `json:"required_label,omitempty"`
	MayMiss       int    `json:"may_miss,omitempty"`

	// FailMS is after which time each run of a task fails, 0 for never.
	FailMS int `json:"-"`
}

// submit hands a job in, and again after any answer but 200; it reports whether it was accepted.
func (b *bed) submit(queue, id string, workMS int, s step) bool {
	label := s.RequiredLabel
	if label == "" {
		label = anyLabel
	}
	spec := workSpec{Work: workMS, Fail: s.FailMS, resources: resources{CPU: s.CPU, MemMB: s.MemMB, GPU: s.GPU}, MayMiss: s.MayMiss, Label: label}
	body, _ := json.Marshal(map[string]any{"spec": spec.String(), "steps": []step{s}})
	for n := range 10 {
		if status, _ := b.call(http.MethodPost, b.nodes[n%len(b.nodes)], queue+id, body); status == http.StatusOK {
			return true
		}
		time.Sleep(300 * time.Millisecond)
	}
	return false
}

// state returns a job's state as a node gives it, or the status of an answer without one.
func (b *bed) state(n *node, queue, id string) string {
	status, body := b.call(http.MethodGet, n, queue+id, nil)
	var s struct {
		State string `json:"state"`
	}
	if status != http.StatusOK || json.Unmarshal(body, &s) != nil {
		return fmt.Sprint(status)
	}
	return s.State
}

// pendingOf returns a queue's count of jobs that have not begun, or -1 without an answer.
func (b *bed) pendingOf(n *node, queue string) int {
	status, body := b.call(http.MethodGet, n, queue, nil)
	var s struct {
		Pending int `json:"pending"`
	}
	if status != http.StatusOK || json.Unmarshal(body, &s) != nil {
		return -1
	}
	return s.Pending
}

// call makes a client's call; the status is 0 if there was no answer.
func (b *bed) call(method string, n *node, path string, body []byte) (int, []byte) {
	if !n.running() {
		return 0, nil
	}
	req, err := http.NewRequest(method, "http://"+n.callers+path, bytes.NewReader(body))
	if err != nil {
		return 0, nil
	}
	req.Host = jobHost
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("Authorization", "Bearer "+key)
	req.Header.Set("X-Deadline-Ms", "3000")
	res, err := client.Do(req)
	if err != nil {
		b.rec.notef("%s %s at %s: no answer: %v", method, path, n.name, err)
		return 0, nil
	}
	defer func() { _ = res.Body.Close() }()
	out, err := io.ReadAll(res.Body)
	if err != nil {
		return 0, nil
	}
	b.rec.notef("%s %s at %s %s: %d %s", method, path, n.name, body, res.StatusCode, out)
	return res.StatusCode, out
}
