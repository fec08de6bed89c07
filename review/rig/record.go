package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// record is the log of what was sent, answered and run, and of the rules that were broken.
type record struct {
	mu     sync.Mutex
	file   *os.File
	began  time.Time
	broken []string
}

func newRecord(path string) (*record, error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{file: f, began: time.Now()}, nil
}

// notef writes a line with the time since the start in seconds.
func (r *record) notef(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.line(fmt.Sprintf(format, args...))
}

func (r *record) line(text string) {
	_, _ = fmt.Fprintf(r.file, "%8.3f %s\n", time.Since(r.began).Seconds(), text)
}

// brokenf notes that a rule was broken.
func (r *record) brokenf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	text := "BROKEN " + fmt.Sprintf(format, args...)
	r.broken = append(r.broken, text)
	r.line(text)
}

// violations returns the rules that were broken so far.
func (r *record) violations() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]string(nil), r.broken...)
}
