package journal_test

import (
	"slices"
	"strconv"
	"testing"
	"time"

	"coltsfootmux/internal/core/journal"
	"coltsfootmux/internal/model"
	"coltsfootmux/internal/platform"
)

// BenchmarkWriterRecord gives the cost of one record from Submitted to its
// Answer, in batches of n.
func BenchmarkWriterRecord(b *testing.B) {
	for _, n := range []int{1, 16, 256} {
		b.Run(strconv.Itoa(n), func(b *testing.B) {
			cfg := journal.DefaultConfig()
			cfg.PerSecond = 1e9
			w := journal.NewWriter(cfg)
			now := t0
			rec := platform.Record{ID: "0197f5a0-0000-7000-8000-000000000000", Type: "outcome", Data: make([]byte, 200)}
			w.Step(now, journal.Submitted{Stream: stream, Record: rec})
			now = now.Add(time.Second)
			w.Step(now, journal.Tick{})
			w.Step(now, journal.Located{Stream: stream, Bounds: platform.Bounds{Oldest: 1, Next: 1}})
			next := model.Offset(1)
			var ticket journal.Ticket
			open := 1
			b.ReportAllocs()
			for b.Loop() {
				ticket++
				w.Step(now, journal.Submitted{Stream: stream, Record: rec, Ticket: ticket})
				if int(ticket)%n == 0 {
					now = now.Add(time.Millisecond)
					w.Step(now, journal.Appended{Stream: stream, First: next})
					next += model.Offset(open)
					open = n
				}
			}
		})
	}
}

// BenchmarkReaderEntry gives the cost of one entry, in pages of 1024.
func BenchmarkReaderEntry(b *testing.B) {
	const size = 1024
	r := journal.NewReader(journal.DefaultReaderConfig(), 1)
	page := journal.PageRead{Entries: make([]platform.Entry, size)}
	offset := model.Offset(0)
	b.ReportAllocs()
	i := 0
	for b.Loop() {
		if i%size == 0 {
			for j := range page.Entries {
				offset++
				page.Entries[j] = platform.Entry{Offset: offset, Record: platform.Record{ID: strconv.Itoa(int(offset))}}
			}
			r.Step(page)
		}
		i++
	}
}

// fleet is n Writers before one log that takes 300 appends a second, in steps
// of a millisecond of virtual time.
type fleet struct {
	now     time.Time
	writers []*journal.Writer
	answers []answerAt
	next    model.Offset
	sent    map[journal.Ticket]time.Time
	appends int
	refused int
	waited  []time.Duration
	// cap limits the appends of all writers together.
	cap *tokens
}

// tokens is the log's own limit on appends, in tokens a second.
type tokens struct {
	rate, burst, left float64
	at                time.Time
}

func (c *tokens) take(now time.Time) bool {
	c.left = min(c.burst, c.left+c.rate*now.Sub(c.at).Seconds())
	c.at = now
	if c.left < 1 {
		return false
	}
	c.left--
	return true
}

// answerAt is an answer of the log on its way to a Writer.
type answerAt struct {
	at time.Time
	to int
	ev journal.Event
}

// appendTime is how long the log takes for an append.
const appendTime = 5 * time.Millisecond

func (f *fleet) step(to int, ev journal.Event) {
	for _, a := range f.writers[to].Step(f.now, ev) {
		switch a := a.(type) {
		case journal.Locate:
			f.answer(to, journal.Located{Stream: a.Stream, Bounds: platform.Bounds{Oldest: 1, Next: 1}})
		case journal.Append:
			if !f.cap.take(f.now) {
				f.refused++
				jitter := float64(f.refused%97) / 97
				f.answer(to, journal.Appended{Stream: a.Stream, Failure: journal.FailThrottled, Jitter: jitter})
				continue
			}
			f.appends++
			f.answer(to, journal.Appended{Stream: a.Stream, First: f.next})
			f.next += model.Offset(len(a.Records))
		case journal.Answer:
			f.waited = append(f.waited, f.now.Sub(f.sent[a.Ticket]))
		}
	}
}

func (f *fleet) answer(to int, ev journal.Event) {
	f.answers = append(f.answers, answerAt{f.now.Add(appendTime), to, ev})
}

func (f *fleet) pass() {
	f.now = f.now.Add(time.Millisecond)
	for len(f.answers) > 0 && !f.answers[0].at.After(f.now) {
		a := f.answers[0]
		f.answers = f.answers[1:]
		f.step(a.to, a.ev)
	}
	for i, w := range f.writers {
		if at, ok := w.Due(); ok && !at.After(f.now) {
			f.step(i, journal.Tick{})
		}
	}
}

// BenchmarkGroupCommit gives the appends a second that n writers need for a
// given number of records a second, each waited for, in a virtual minute, and
// how long a record waits. The budget of 270 a second is shared out evenly.
func BenchmarkGroupCommit(b *testing.B) {
	for _, n := range []int{1, 9, 90} {
		for _, perSecond := range []int{10, 100, 1000} {
			b.Run(strconv.Itoa(n)+"writers/"+strconv.Itoa(perSecond)+"records", func(b *testing.B) {
				var f *fleet
				for b.Loop() {
					f = runFleet(n, perSecond, 270/float64(n))
				}
				f.report(b)
			})
		}
	}
}

// BenchmarkOverbooked is the same for writers whose budgets add up to far more
// than the log takes: the default of 30 a second in each of n processes.
func BenchmarkOverbooked(b *testing.B) {
	for _, n := range []int{9, 27, 90} {
		b.Run(strconv.Itoa(n)+"writers/1000records", func(b *testing.B) {
			var f *fleet
			for b.Loop() {
				f = runFleet(n, 1000, journal.DefaultConfig().PerSecond)
			}
			f.report(b)
		})
	}
}

func (f *fleet) report(b *testing.B) {
	var sum time.Duration
	for _, w := range f.waited {
		sum += w
	}
	slices.Sort(f.waited)
	b.ReportMetric(float64(f.appends)/60, "appends/s")
	b.ReportMetric(float64(f.refused)/60, "refused/s")
	b.ReportMetric(float64(len(f.waited))/float64(f.appends), "records/append")
	b.ReportMetric(float64(sum.Milliseconds())/float64(len(f.waited)), "ms-mean-wait")
	b.ReportMetric(float64(f.waited[len(f.waited)*99/100].Milliseconds()), "ms-p99-wait")
}

// runFleet lets a virtual minute pass with a budget for each of n writers.
func runFleet(n, perSecond int, budget float64) *fleet {
	return runStreams(n, perSecond, budget, 1)
}

// runStreams is the same with the records spread over streams.
func runStreams(n, perSecond int, budget float64, streams int) *fleet {
	f := &fleet{
		now: t0, next: 1, sent: make(map[journal.Ticket]time.Time),
		cap: &tokens{rate: 300, burst: 60, left: 60, at: t0},
	}
	cfg := journal.DefaultConfig()
	cfg.PerSecond = budget
	cfg.Burst = max(1, cfg.PerSecond/3)
	for range n {
		f.writers = append(f.writers, journal.NewWriter(cfg))
	}
	var ticket journal.Ticket
	due := 0.0
	for range 60_000 {
		f.pass()
		for due += float64(perSecond) / 1000; due >= 1; due-- {
			ticket++
			f.sent[ticket] = f.now
			// A multiplicative hash spreads the records over the writers.
			to := int(uint32(ticket)*2654435761>>8) % n
			on := platform.Stream(strconv.Itoa(int(uint32(ticket)*2246822519>>8) % streams))
			f.step(to, journal.Submitted{Stream: on, Record: platform.Record{ID: strconv.Itoa(int(ticket))}, Ticket: ticket})
		}
	}
	return f
}

// BenchmarkIdleStreams gives the cost of one record, alone, in a process that
// has used n other streams before.
func BenchmarkIdleStreams(b *testing.B) {
	for _, n := range []int{1, 100, 8192} {
		b.Run(strconv.Itoa(n), func(b *testing.B) {
			cfg := journal.DefaultConfig()
			cfg.PerSecond, cfg.Burst = 1e9, 1e9
			w := journal.NewWriter(cfg)
			write := func(s platform.Stream, ticket journal.Ticket) {
				for _, a := range w.Step(t0, journal.Submitted{Stream: s, Record: platform.Record{ID: "r"}, Ticket: ticket}) {
					if _, ok := a.(journal.Locate); ok {
						w.Step(t0, journal.Located{Stream: s, Bounds: platform.Bounds{Oldest: 1, Next: 1}})
					}
				}
				w.Step(t0, journal.Appended{Stream: s, First: 1})
				w.Due()
			}
			for i := range n {
				write(platform.Stream(strconv.Itoa(i)), 1)
			}
			b.ReportAllocs()
			for b.Loop() {
				write("0", 1)
			}
		})
	}
}

// BenchmarkStreams gives what it costs to spread 1000 records a second of 9
// writers over n streams, as each append is for one stream.
func BenchmarkStreams(b *testing.B) {
	for _, n := range []int{1, 12, 64} {
		b.Run(strconv.Itoa(n)+"streams", func(b *testing.B) {
			var f *fleet
			for b.Loop() {
				f = runStreams(9, 1000, 30, n)
			}
			f.report(b)
		})
	}
}
