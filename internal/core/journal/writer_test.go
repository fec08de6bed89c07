package journal_test

import (
	"fmt"
	"testing"
	"time"

	"coltsfootmux/internal/core/journal"
	"coltsfootmux/internal/model"
	"coltsfootmux/internal/platform"
)

const stream = platform.StreamAudit

var t0 = time.Unix(1_000_000, 0)

// script drives a Writer step by step and keeps what it asked for.
type script struct {
	t   *testing.T
	w   *journal.Writer
	now time.Time
	out []journal.Action
}

func newScript(t *testing.T, change func(*journal.Config)) *script {
	cfg := journal.DefaultConfig()
	if change != nil {
		change(&cfg)
	}
	return &script{t: t, w: journal.NewWriter(cfg), now: t0}
}

func (s *script) step(ev journal.Event) { s.out = append(s.out, s.w.Step(s.now, ev)...) }

func (s *script) submit(id string, ticket journal.Ticket) {
	s.step(journal.Submitted{Stream: stream, Record: platform.Record{ID: id, Data: []byte(id)}, Ticket: ticket})
}

// wait lets pass what the Writer wants to wait, and ticks it.
func (s *script) wait() {
	s.t.Helper()
	at, ok := s.w.Due()
	if !ok {
		s.t.Fatal("the writer waits for nothing")
	}
	if at.After(s.now) {
		s.now = at
	}
	s.step(journal.Tick{})
}

// take gives the only action since the last take, as text.
func (s *script) take() string {
	out := s.out
	s.out = nil
	if len(out) == 0 {
		return ""
	}
	var text string
	for i, a := range out {
		if i > 0 {
			text += "; "
		}
		text += textOf(a)
	}
	return text
}

func textOf(a journal.Action) string {
	switch a := a.(type) {
	case journal.Append:
		ids := ""
		for _, r := range a.Records {
			ids += " " + r.ID
		}
		return "append" + ids
	case journal.ReadTail:
		return fmt.Sprint("tail from ", a.From)
	case journal.Locate:
		return "locate"
	case journal.Answer:
		return fmt.Sprintf("answer %d: %s at %d", a.Ticket, resultNames[a.Result], a.Offset)
	}
	return "?"
}

var resultNames = map[journal.Result]string{
	journal.Recorded:     "recorded",
	journal.QueueFull:    "full",
	journal.NotRecorded:  "not recorded",
	journal.Unclear:      "unclear",
	journal.RefusedByLog: "refused",
}

func (s *script) want(text string) {
	s.t.Helper()
	if got := s.take(); got != text {
		s.t.Fatalf("got %q, want %q", got, text)
	}
}

func (s *script) locate() {
	s.t.Helper()
	s.want("locate")
	s.step(journal.Located{Stream: stream, Bounds: platform.Bounds{Oldest: 1, Next: 10}})
}

func (s *script) appended(first model.Offset, f journal.Failure) {
	s.step(journal.Appended{Stream: stream, First: first, Failure: f})
}

func (s *script) tail(f journal.Failure, from model.Offset, ids ...string) {
	var es []platform.Entry
	for i, id := range ids {
		es = append(es, platform.Entry{Offset: from + model.Offset(i), Record: platform.Record{ID: id}})
	}
	s.step(journal.TailRead{Stream: stream, Entries: es, Failure: f})
}

func TestRecordsGoOutTogetherWhileOneAppendIsOpen(t *testing.T) {
	s := newScript(t, nil)
	s.submit("a", 1)
	s.locate()
	s.want("append a")
	s.submit("b", 2)
	s.submit("c", 0)
	s.want("")
	s.appended(10, journal.FailNone)
	s.want("answer 1: recorded at 10; append b c")
	s.appended(11, journal.FailNone)
	s.want("answer 2: recorded at 11")
}

func TestRecordThatNobodyWaitsForLingers(t *testing.T) {
	s := newScript(t, nil)
	s.submit("a", 0)
	s.want("")
	s.wait()
	if got := s.now.Sub(t0); got != journal.DefaultConfig().Linger {
		t.Fatalf("sent after %v", got)
	}
	s.locate()
	s.want("append a")
}

func TestUnclearAppendIsSettledByTheTail(t *testing.T) {
	for name, tc := range map[string]struct {
		play func(s *script)
		want string
	}{
		"found there": {func(s *script) {
			s.tail(journal.FailNone, 10, "other", "a", "b")
		}, "answer 1: recorded at 11; answer 2: recorded at 12"},
		"found on a later page": {func(s *script) {
			s.tail(journal.FailNone, 10, "other")
			s.want("tail from 11")
			s.tail(journal.FailNone, 11, "a", "b")
		}, "answer 1: recorded at 11; answer 2: recorded at 12"},
		"not there, so sent again": {func(s *script) {
			s.tail(journal.FailNone, 10)
			s.want("")
			s.wait()
		}, "append a b"},
		"half of it there, so the rest is sent again": {func(s *script) {
			s.tail(journal.FailNone, 10, "a")
			s.want("answer 1: recorded at 10; tail from 11")
			s.tail(journal.FailNone, 11)
			s.wait()
		}, "append b"},
		"tail not readable, so read again later": {func(s *script) {
			s.tail(journal.FailUnclear, 0)
			s.want("")
			s.wait()
		}, "tail from 10"},
		"tail expired, so read from the oldest left": {func(s *script) {
			s.tail(journal.FailExpired, 0)
			s.want("locate")
			s.step(journal.Located{Stream: stream, Bounds: platform.Bounds{Oldest: 40, Next: 50}})
		}, "tail from 40"},
	} {
		t.Run(name, func(t *testing.T) {
			s := newScript(t, nil)
			s.submit("x", 0)
			s.wait()
			s.locate()
			s.take()
			s.submit("a", 1)
			s.submit("b", 2)
			s.appended(9, journal.FailNone)
			s.want("append a b")
			s.appended(0, journal.FailUnclear)
			s.want("tail from 10")
			tc.play(s)
			s.want(tc.want)
		})
	}
}

func TestWithdrawalSaysWhatIsKnown(t *testing.T) {
	for name, tc := range map[string]struct {
		play func(s *script)
		want string
	}{
		"never sent": {func(s *script) { s.appended(0, journal.FailNothing) }, "answer 1: not recorded at 0"},
		"in flight":  {func(*script) {}, "answer 1: unclear at 0"},
		"sent without answer, and waiting to be sent again": {func(s *script) {
			s.appended(0, journal.FailUnclear)
			s.tail(journal.FailNone, 10)
			s.want("tail from 10")
		}, "answer 1: unclear at 0"},
		"recorded already": {func(s *script) {
			s.appended(10, journal.FailNone)
			s.want("answer 1: recorded at 10")
		}, ""},
	} {
		t.Run(name, func(t *testing.T) {
			s := newScript(t, nil)
			s.submit("a", 1)
			s.locate()
			s.want("append a")
			tc.play(s)
			s.step(journal.Withdrawn{Ticket: 1})
			s.want(tc.want)
			s.step(journal.Withdrawn{Ticket: 1})
			s.want("")
		})
	}
}

func TestWithdrawnRecordIsNotSentAgain(t *testing.T) {
	s := newScript(t, nil)
	s.submit("a", 1)
	s.submit("b", 2)
	s.locate()
	s.want("append a b")
	s.step(journal.Withdrawn{Ticket: 1})
	s.want("answer 1: unclear at 0")
	s.appended(0, journal.FailNothing)
	s.wait()
	s.want("append b")
}

func TestBadRecordDoesNotHoldUpTheOthers(t *testing.T) {
	s := newScript(t, nil)
	s.submit("x", 1)
	s.locate()
	s.want("append x")
	s.submit("a", 2)
	s.submit("bad", 3)
	s.submit("b", 4)
	s.appended(10, journal.FailNone)
	s.want("answer 1: recorded at 10; append a bad b")
	s.appended(0, journal.FailRefused)
	s.want("append a")
	s.appended(11, journal.FailNone)
	s.want("answer 2: recorded at 11; append bad")
	s.appended(0, journal.FailRefused)
	s.want("answer 3: refused at 0; append b")
	s.appended(12, journal.FailNone)
	s.want("answer 4: recorded at 12")
}

func TestPausesGrowAndAreBounded(t *testing.T) {
	s := newScript(t, nil)
	s.submit("a", 1)
	s.locate()
	cfg := journal.DefaultConfig().Backoff
	last := time.Duration(0)
	for i := range 12 {
		s.want("append a")
		s.appended(0, journal.FailNothing)
		from := s.now
		s.wait()
		pause := s.now.Sub(from)
		if pause < last || pause > cfg.Most || i == 11 && pause != cfg.Most/2 {
			t.Fatalf("pause %d is %v after %v", i, pause, last)
		}
		last = pause
	}
}

func TestQueueHasABoundInBytesAndRecords(t *testing.T) {
	for name, change := range map[string]func(*journal.Config){
		"records": func(c *journal.Config) { c.QueueRecords = 2 },
		"bytes":   func(c *journal.Config) { c.QueueBytes = 4 },
	} {
		t.Run(name, func(t *testing.T) {
			s := newScript(t, change)
			s.submit("a", 1)
			s.want("locate")
			s.submit("b", 2)
			s.submit("c", 3)
			s.want("answer 3: full at 0")
			s.step(journal.Withdrawn{Ticket: 2})
			s.want("answer 2: not recorded at 0")
			s.submit("d", 4)
			s.want("")
		})
	}
}

func TestStreamsDoNotHoldEachOtherUp(t *testing.T) {
	s := newScript(t, nil)
	s.submit("a", 1)
	s.locate()
	s.want("append a")
	s.step(journal.Submitted{Stream: platform.StreamClaims, Record: platform.Record{ID: "claim"}, Ticket: 2})
	s.want("locate")
	s.step(journal.Located{Stream: platform.StreamClaims, Bounds: platform.Bounds{Oldest: 1, Next: 1}})
	s.want("append claim")
}

func TestRoomInTheQueueComesBack(t *testing.T) {
	s := newScript(t, func(c *journal.Config) { c.QueueBytes = 4 })
	s.submit("x", 1)
	s.locate()
	s.want("append x")
	for i := range 10 {
		first := model.Offset(10 + i)
		s.submit("y", journal.Ticket(i+2))
		s.appended(first, journal.FailNone)
		s.want(fmt.Sprintf("answer %d: recorded at %d; append y", i+1, first))
		s.now = s.now.Add(time.Second)
	}
}

func TestBudgetShrinksWhenTurnedAwayAndComesBack(t *testing.T) {
	s := newScript(t, func(c *journal.Config) {
		c.PerSecond, c.Burst, c.Linger = 10, 1, time.Nanosecond
		c.Backoff.First = time.Nanosecond
	})
	// gap gives how long the writer waits from one append to the next.
	gap := func(f journal.Failure) time.Duration {
		s.t.Helper()
		s.appended(10, f)
		if f == journal.FailNone {
			s.submit("a", 0)
		}
		from := s.now
		for s.take() != "append a" {
			s.wait()
		}
		return s.now.Sub(from)
	}
	s.submit("a", 1)
	s.locate()
	s.want("append a")
	if before, after := gap(journal.FailThrottled), gap(journal.FailThrottled); after < 3*before/2 {
		t.Fatalf("turned away twice: %v, then %v", before, after)
	}
	for range 200 {
		gap(journal.FailNone)
	}
	if got, want := gap(journal.FailNone), 100*time.Millisecond+time.Microsecond; got > want {
		t.Fatalf("after many successes still %v, want %v", got, want)
	}
}

func TestPausesDoNotGrowWhenTheLogIsOnlyBusy(t *testing.T) {
	s := newScript(t, nil)
	s.submit("a", 1)
	s.locate()
	for range 10 {
		s.want("append a")
		s.appended(0, journal.FailThrottled)
		at, _ := s.w.Due()
		if pause := at.Sub(s.now); pause > time.Second {
			t.Fatalf("pause of %v", pause)
		}
		s.wait()
	}
}
