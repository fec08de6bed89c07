package journal

import (
	"coltsfootmux/internal/model"
	"coltsfootmux/internal/platform"
)

// ReaderConfig bounds what a Reader keeps.
type ReaderConfig struct {
	// Remember is how many record ids are remembered, to drop repeats.
	Remember int
	Backoff  Backoff
}

// DefaultReaderConfig gives the usual bounds.
func DefaultReaderConfig() ReaderConfig {
	return ReaderConfig{Remember: 16_384, Backoff: DefaultBackoff()}
}

// Reader decides how one stream is read. It is not safe for concurrent use.
type Reader struct {
	cfg      ReaderConfig
	next     model.Offset // 0 until the oldest kept is known
	lost     bool         // records were missed, and Reset is due
	atHead   bool
	failures int
	seen     *idSet
	out      []ReaderAction
}

// NewReader makes a Reader from an offset on; 0 stands for the oldest kept.
func NewReader(cfg ReaderConfig, from model.Offset) *Reader {
	return &Reader{cfg: cfg, next: from, seen: newIDSet(cfg.Remember)}
}

// Step takes one event in and gives what to do.
func (r *Reader) Step(ev ReaderEvent) []ReaderAction {
	r.out = nil
	switch ev := ev.(type) {
	case Begin, PauseOver:
		r.proceed()
	case PageRead:
		r.pageRead(ev)
	case BoundsRead:
		r.boundsRead(ev)
	}
	return r.out
}

func (r *Reader) do(a ReaderAction) { r.out = append(r.out, a) }

// proceed makes the next call.
func (r *Reader) proceed() {
	if r.next == 0 {
		r.do(AskBounds{})
		return
	}
	r.do(Read{From: r.next, Wait: r.atHead})
}

func (r *Reader) pageRead(ev PageRead) {
	switch ev.Failure {
	case FailNone:
		r.failures = 0
	case FailExpired:
		r.next, r.lost, r.atHead = 0, true, false
		r.proceed()
		return
	default:
		r.failed(ev.Jitter)
		return
	}
	for _, e := range ev.Entries {
		r.deliver(e)
	}
	if len(ev.Entries) == 0 && !r.atHead {
		r.atHead = true
		r.do(CaughtUp{Next: r.next})
	}
	r.proceed()
}

func (r *Reader) deliver(e platform.Entry) {
	if e.Offset < r.next {
		return
	}
	r.next = e.Offset + 1
	r.do(Deliver{Entry: e, Again: !r.seen.add(e.Record.ID)})
}

func (r *Reader) boundsRead(ev BoundsRead) {
	if ev.Failure != FailNone {
		r.failed(ev.Jitter)
		return
	}
	r.failures = 0
	r.next = max(ev.Bounds.Oldest, 1)
	if r.lost {
		r.lost = false
		r.seen = newIDSet(r.cfg.Remember)
		r.do(Reset{Next: r.next})
	}
	r.proceed()
}

func (r *Reader) failed(jitter float64) {
	r.failures++
	r.atHead = false
	r.do(Pause{For: r.cfg.Backoff.After(r.failures, jitter)})
}
