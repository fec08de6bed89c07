package journal_test

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"coltsfootmux/internal/core/journal"
	"coltsfootmux/internal/model"
	"coltsfootmux/internal/platform"
	_ "coltsfootmux/internal/testseed"
)

// logModel is a log that answers a Writer's calls at random.
type logModel struct {
	t       *rapid.T
	w       *journal.Writer
	now     time.Time
	next    model.Offset
	at      map[string]model.Offset // the first place of each record
	open    map[platform.Stream]journal.Action
	appends []time.Time
	told    map[journal.Ticket]journal.Answer
	// late holds appends that were given up on and have not arrived yet.
	late    [][]platform.Record
	tickets journal.Ticket
}

func (m *logModel) step(ev journal.Event) {
	for _, a := range m.w.Step(m.now, ev) {
		if ans, ok := a.(journal.Answer); ok {
			m.tell(ans)
			continue
		}
		m.call(a)
	}
}

func (m *logModel) tell(a journal.Answer) {
	if _, twice := m.told[a.Ticket]; twice {
		m.t.Fatalf("ticket %d answered twice", a.Ticket)
	}
	m.told[a.Ticket] = a
	place := m.at[fmt.Sprint(a.Ticket)]
	if a.Result == journal.Recorded && (place == 0 || place != a.Offset) {
		m.t.Fatalf("ticket %d said to be recorded at %d, but readers have it at %d", a.Ticket, a.Offset, place)
	}
	if a.Result == journal.NotRecorded && m.at[fmt.Sprint(a.Ticket)] != 0 {
		m.t.Fatalf("ticket %d said not to be recorded, but it is", a.Ticket)
	}
}

func (m *logModel) call(a journal.Action) {
	s := streamOf(a)
	if m.open[s] != nil {
		m.t.Fatalf("two calls are open for %s", s)
	}
	m.open[s] = a
	if _, ok := a.(journal.Append); ok {
		m.appends = append(m.appends, m.now)
	}
}

func streamOf(a journal.Action) platform.Stream {
	switch a := a.(type) {
	case journal.Append:
		return a.Stream
	case journal.Locate:
		return a.Stream
	case journal.ReadTail:
		return a.Stream
	}
	return ""
}

func (m *logModel) write(recs []platform.Record) model.Offset {
	first := m.next
	for _, r := range recs {
		if m.at[r.ID] == 0 {
			m.at[r.ID] = m.next
		}
		m.next++
	}
	return first
}

// answer answers the open call of a stream in one of the ways a log may.
func (m *logModel) answer(t *rapid.T) {
	a := m.open[stream]
	if a == nil {
		return
	}
	delete(m.open, stream)
	f := rapid.SampledFrom([]journal.Failure{journal.FailNone, journal.FailNone, journal.FailNothing, journal.FailThrottled, journal.FailUnclear}).Draw(t, "failure")
	jitter := rapid.Float64Range(0, 0.99).Draw(t, "jitter")
	switch a := a.(type) {
	case journal.Locate:
		m.step(journal.Located{Stream: stream, Bounds: platform.Bounds{Oldest: 1, Next: m.next}, Failure: f, Jitter: jitter})
	case journal.Append:
		done := f == journal.FailNone || f == journal.FailUnclear && rapid.Bool().Draw(t, "done")
		var first model.Offset
		if done {
			first = m.write(a.Records)
		} else if f == journal.FailUnclear {
			m.late = append(m.late, a.Records)
		}
		m.step(journal.Appended{Stream: stream, First: first, Failure: f, Jitter: jitter})
	case journal.ReadTail:
		m.step(journal.TailRead{Stream: stream, Entries: m.entries(a.From), Failure: f, Jitter: jitter})
	}
}

// entries gives the first places of records from an offset on, in order.
func (m *logModel) entries(from model.Offset) []platform.Entry {
	byPlace := make(map[model.Offset]string)
	for id, at := range m.at {
		byPlace[at] = id
	}
	var out []platform.Entry
	for o := from; o < m.next; o++ {
		out = append(out, platform.Entry{Offset: o, Record: platform.Record{ID: byPlace[o]}})
	}
	return out
}

func (m *logModel) checkBudget(cfg journal.Config) {
	for i := range m.appends {
		for j := i; j < len(m.appends); j++ {
			allowed := cfg.Burst + cfg.PerSecond*m.appends[j].Sub(m.appends[i]).Seconds() + 1e-6
			if n := float64(j - i + 1); n > allowed {
				m.t.Fatalf("%v appends in %v", n, m.appends[j].Sub(m.appends[i]))
			}
		}
	}
}

func TestWriterKeepsItsPromisesUnderAnyAnswers(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		cfg := journal.DefaultConfig()
		cfg.PerSecond, cfg.Burst, cfg.BatchRecords = 3, 2, 4
		m := &logModel{
			t: rt, w: journal.NewWriter(cfg), now: t0, next: 1,
			at:   make(map[string]model.Offset),
			open: make(map[platform.Stream]journal.Action),
			told: make(map[journal.Ticket]journal.Answer),
		}
		rt.Repeat(map[string]func(*rapid.T){
			"submit": func(*rapid.T) {
				m.tickets++
				rec := platform.Record{ID: fmt.Sprint(m.tickets)}
				m.step(journal.Submitted{Stream: stream, Record: rec, Ticket: m.tickets})
			},
			"withdraw": func(t *rapid.T) {
				m.step(journal.Withdrawn{Ticket: journal.Ticket(rapid.IntRange(1, 20).Draw(t, "ticket"))})
			},
			"answer": m.answer,
			"arrive": func(*rapid.T) {
				if len(m.late) > 0 {
					m.write(m.late[0])
					m.late = m.late[1:]
				}
			},
			"pass": func(t *rapid.T) {
				m.now = m.now.Add(time.Duration(rapid.IntRange(1, 2000).Draw(t, "ms")) * time.Millisecond)
				m.step(journal.Tick{})
			},
		})
		m.settle()
		m.checkBudget(cfg)
	})
}

// settle answers every call well until nothing is left to do.
func (m *logModel) settle() {
	for range 10_000 {
		if a := m.open[stream]; a != nil {
			delete(m.open, stream)
			m.answerWell(a)
			continue
		}
		at, ok := m.w.Due()
		if !ok {
			break
		}
		if at.After(m.now) {
			m.now = at
		}
		m.step(journal.Tick{})
	}
	if n := m.w.Queued(); n != 0 {
		m.t.Fatalf("%d records are left though the log is well", n)
	}
	for ticket := journal.Ticket(1); ticket <= m.tickets; ticket++ {
		if _, ok := m.told[ticket]; !ok {
			m.t.Fatalf("ticket %d was never answered", ticket)
		}
	}
}

func (m *logModel) answerWell(a journal.Action) {
	switch a := a.(type) {
	case journal.Locate:
		m.step(journal.Located{Stream: stream, Bounds: platform.Bounds{Oldest: 1, Next: m.next}})
	case journal.Append:
		m.step(journal.Appended{Stream: stream, First: m.write(a.Records)})
	case journal.ReadTail:
		m.step(journal.TailRead{Stream: stream, Entries: m.entries(a.From)})
	}
}
