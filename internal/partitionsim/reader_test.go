package partitionsim

import (
	"slices"
	"time"
)

// reader reads a topic to its end and goes on reading, as package instance does.
type reader struct {
	inst  *instance
	topic *topic
	// minInterval is the least time between the starts of two reads.
	minInterval time.Duration
	// next is the offset to read next, or unread for a first read of the newest record.
	next    int64
	onPage  func(records []any, next int64)
	onError func()
	// ended reports that the reader has ended.
	ended func() bool
	// attempt counts the reads, so that results of aborted ones are ignored. busy is set
	// while a read is under way or is to be made again.
	attempt int
	busy    bool
}

// unread is the offset of a reader that has not read anything.
const unread = -1

// page is a result of a read.
type page struct {
	records []any
	next    int64
}

// pageFrom returns the records from an offset on.
func (t *topic) pageFrom(offset int64) page {
	if offset == unread {
		return page{records: t.newest(), next: t.end()}
	}
	offset = min(offset, t.end())
	return page{records: slices.Clone(t.records[offset:]), next: t.end()}
}

// newest returns the newest record of each key.
func (t *topic) newest() []any {
	seen := make(map[any]bool)
	var out []any
	for _, r := range slices.Backward(t.records) {
		if k := t.key(r); !seen[k] {
			seen[k] = true
			out = append(out, r)
		}
	}
	return out
}

// abort makes the read that is under way, or to be made again, at once.
func (r *reader) abort() {
	if r.busy {
		r.read(0)
	}
}

// read makes one read that waits up to the given time for a record.
func (r *reader) read(wait time.Duration) {
	if r.ended() {
		return
	}
	r.attempt++
	r.busy = true
	attempt, began := r.attempt, r.inst.sim.now
	var p page
	if r.next == unread {
		wait = 0
	}
	execute := func(reply func()) {
		r.inst.sim.awaitRecord(r.topic, r.next, wait, func() {
			p = r.topic.pageFrom(r.next)
			reply()
		})
	}
	r.inst.sim.send(call{from: r.inst, to: storeHost, timeout: wait + readTimeout, execute: execute, done: func(res callResult) {
		if attempt == r.attempt && !r.ended() {
			r.readDone(res, p, began)
		}
	}})
}

// readDone handles the result of a read and plans the next one.
func (r *reader) readDone(res callResult, p page, began time.Duration) {
	r.busy = false
	r.inst.recordStoreResult(res)
	delay := r.minInterval - (r.inst.sim.now - began)
	if res == callAnswered {
		r.next = p.next
		r.onPage(p.records, p.next)
	} else {
		r.busy = true
		r.onError()
		delay = outageRetryDelay
	}
	attempt := r.attempt
	r.inst.deliver(delay, func() {
		if attempt == r.attempt {
			r.read(readWait)
		}
	})
}

// awaitRecord calls answer once a topic has a record at an offset, or after the given time.
func (s *simulation) awaitRecord(t *topic, offset int64, wait time.Duration, answer func()) {
	if t.end() > offset || wait == 0 {
		answer()
		return
	}
	answered := false
	once := func() {
		if !answered {
			answered = true
			answer()
		}
	}
	t.waiting = append(t.waiting, once)
	s.schedule(wait, once)
}
