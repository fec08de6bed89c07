package settings

import (
	"fmt"
	"testing"
	"time"

	"coltsfootmux/internal/config"
	"coltsfootmux/internal/model"
	"coltsfootmux/internal/platform"
	_ "coltsfootmux/internal/testseed"
)

var start = time.Date(2026, 12, 3, 0, 0, 0, 0, time.UTC)

// stream is a log stream that forgets its oldest records.
type stream struct {
	entries []platform.Entry
	next    model.Offset
}

func (s *stream) oldest() model.Offset {
	if len(s.entries) == 0 {
		return s.next
	}
	return s.entries[0].Offset
}

func newStream() *stream { return &stream{next: 1} }

func (s *stream) append(r platform.Record) {
	at := start.Add(time.Duration(s.next) * time.Second)
	s.entries = append(s.entries, platform.Entry{Offset: s.next, At: at, Record: r})
	s.next++
}

func (s *stream) change(t fatal, r Record) {
	b, err := EncodeRecord(&r)
	if err != nil {
		t.Fatal(err)
	}
	s.append(platform.Record{ID: r.ID, Type: TypeChange, Data: b})
}

func (s *stream) snapshot(t fatal, snap *Snapshot) {
	b, err := EncodeSnapshot(snap)
	if err != nil {
		t.Fatal(err)
	}
	s.append(platform.Record{ID: fmt.Sprint("s", s.next), Type: TypeSnapshot, Data: b})
}

func (s *stream) expire(n int) { s.entries = s.entries[min(n, len(s.entries)):] }

// fatal is what rapid and testing have in common.
type fatal interface{ Fatal(...any) }

// reader drives a core over a stream as the shell does, and notes what it does.
type reader struct {
	core     *Core
	verdicts []Verdict
	versions []*config.Versioned
}

func newReader(o Options) *reader { return &reader{core: New(o)} }

func (r *reader) step(ev Event) []Action {
	acts := r.core.Step(start, ev)
	for _, a := range acts {
		switch a := a.(type) {
		case Install:
			r.versions = append(r.versions, a.Config)
		case Judge:
			r.verdicts = append(r.verdicts, a.Verdict)
		}
	}
	return acts
}

// follow reads up to n entries; all of them when n is negative.
func (r *reader) follow(s *stream, n int) {
	for n != 0 {
		if r.core.Next() < s.oldest() {
			r.step(Opened{Oldest: s.oldest()})
		}
		e, ok := s.at(r.core.Next())
		if !ok {
			r.step(Head{Next: s.next})
			return
		}
		r.step(Read{Entry: e})
		n--
	}
}

func (s *stream) at(o model.Offset) (platform.Entry, bool) {
	for _, e := range s.entries {
		if e.Offset >= o {
			return e, true
		}
	}
	return platform.Entry{}, false
}

func (r *reader) version() config.Version {
	if c := r.core.Current(); c != nil {
		return c.Version
	}
	return 0
}

// document is a small document; reasons of its exceptions tell versions apart.
func document() *config.Document {
	return &config.Document{Accounts: []config.Account{{Name: "lab"}}}
}

func exception(id, reason string) Op {
	return Op{PutException: &config.Exception{ID: id, Reason: reason, Account: "lab"}}
}

func record(id string, base config.Version, ops ...Op) Record {
	r := Record{ID: id, Base: base, Author: "ada", Reason: "test", At: start, Change: Change{Ops: ops}}
	if len(ops) == 0 {
		r.Change = Change{Document: document()}
	}
	return r
}

func TestFirstOnTopOfCurrentVersionWins(t *testing.T) {
	s := newStream()
	s.change(t, record("a", 0))
	s.change(t, record("b", 1, exception("e", "b")))
	s.change(t, record("c", 1, exception("e", "c")))
	s.change(t, record("d", 2, Op{RemoveException: "none"}))
	s.append(platform.Record{ID: "x", Type: TypeChange, Data: []byte("junk")})
	s.append(platform.Record{ID: "y", Type: "other"})
	s.change(t, record("f", 2, Op{RemoveException: "e"}))
	r := newReader(Options{})
	r.follow(s, -1)
	want := []struct {
		ruling  Ruling
		version config.Version
	}{{RulingAccepted, 1}, {RulingAccepted, 2}, {RulingConflict, 2}, {RulingRefused, 2}, {RulingRefused, 2}, {RulingRefused, 2}, {RulingAccepted, 3}}
	if len(r.verdicts) != len(want) {
		t.Fatalf("got %d verdicts", len(r.verdicts))
	}
	for i, w := range want {
		if v := r.verdicts[i]; v.Ruling != w.ruling || v.Version != w.version {
			t.Errorf("record %d: %s at %d (%s), want %s at %d", i+1, v.Ruling, v.Version, v.Why, w.ruling, w.version)
		}
	}
	if !r.core.Ready() {
		t.Error("not ready at the head of the log")
	}
}

func TestRepeatedAppendIsOneChange(t *testing.T) {
	s := newStream()
	s.change(t, record("a", 0))
	s.change(t, record("b", 1, exception("e", "b")))
	s.change(t, record("b", 1, exception("e", "b")))
	r := newReader(Options{})
	r.follow(s, -1)
	if len(r.verdicts) != 2 || r.version() != 2 {
		t.Errorf("%d verdicts, version %d", len(r.verdicts), r.version())
	}
}

func TestSnapshotThatMissedARecordIsNoStartOnceItExpired(t *testing.T) {
	s := newStream()
	s.change(t, record("a", 0))
	old := newReader(Options{})
	old.follow(s, -1)
	early := old.core.Snapshot()
	s.change(t, record("b", 1, exception("e", "b")))
	s.snapshot(t, early)
	old.follow(s, -1)

	whole := newReader(Options{})
	s.expire(1)
	whole.follow(s, -1)
	if whole.version() != 2 {
		t.Errorf("version %d from a snapshot and the record that it missed, want 2", whole.version())
	}

	s.expire(1)
	late := newReader(Options{})
	late.follow(s, -1)
	if late.version() != 0 || late.core.Ready() {
		t.Errorf("started at version %d although version 2 is in force", late.version())
	}
	s.snapshot(t, old.core.Snapshot())
	late.follow(s, -1)
	if late.version() != 2 || !late.core.Ready() {
		t.Errorf("version %d, ready %v after a usable snapshot", late.version(), late.core.Ready())
	}
}

func TestReaderThatMissedRecordsKeepsItsVersionButIsNotReady(t *testing.T) {
	s := newStream()
	s.change(t, record("a", 0))
	behind, ahead := newReader(Options{}), newReader(Options{})
	behind.follow(s, -1)
	ahead.follow(s, -1)
	s.change(t, record("b", 1, exception("e", "b")))
	s.change(t, record("c", 2, exception("e", "c")))
	ahead.follow(s, -1)
	s.expire(3)
	s.change(t, record("d", 1, exception("e", "d")))
	behind.follow(s, -1)
	if behind.version() != 1 || behind.core.Ready() {
		t.Fatalf("version %d, ready %v", behind.version(), behind.core.Ready())
	}
	behind.step(Offered{ahead.core.Since(0)})
	behind.follow(s, -1)
	if behind.version() != 3 || !behind.core.Ready() {
		t.Errorf("version %d, ready %v after an update from another host", behind.version(), behind.core.Ready())
	}
}

func TestForcedDocumentEndsDoubt(t *testing.T) {
	s := newStream()
	s.next = 500
	s.append(platform.Record{ID: "lost", Type: TypeChange, Data: []byte("junk")})
	forced := record("f", 900)
	forced.Force = true
	s.change(t, forced)
	s.change(t, forced)
	again := record("g", 900)
	again.Force = true
	s.change(t, again)
	r := newReader(Options{})
	r.follow(s, -1)
	if r.version() != 901 || !r.core.Ready() {
		t.Errorf("version %d, ready %v", r.version(), r.core.Ready())
	}
	if n := len(r.verdicts); n != 2 || r.verdicts[1].Ruling != RulingConflict {
		t.Errorf("verdicts %v", r.verdicts)
	}
}

func TestPeersConfirmWhileTheLogIsDown(t *testing.T) {
	s := newStream()
	s.change(t, record("a", 0))
	old := newReader(Options{})
	old.follow(s, -1)

	cases := map[string]struct {
		heard []Heard
		want  bool
	}{
		"no other host answered":              {nil, false},
		"half of the hosts have the version":  {[]Heard{{"b", 1}}, false},
		"a majority has it":                   {[]Heard{{"b", 1}, {"c", 1}}, true},
		"hosts without a version don't count": {[]Heard{{"b", 0}, {"c", 0}, {"d", 1}}, false},
		"one host has a newer version":        {[]Heard{{"b", 1}, {"c", 2}}, false},
		"a host off the list doesn't count":   {[]Heard{{"b", 1}, {"z", 1}}, false},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			r := newReader(Options{})
			r.step(Listed{[]model.HostID{"b", "c", "d"}})
			r.step(Offered{old.core.Since(0)})
			for _, h := range c.heard {
				r.step(h)
			}
			r.step(Listed{[]model.HostID{"b", "c", "d"}})
			if got := r.core.Ready(); got != c.want || r.version() != 1 {
				t.Errorf("ready %v at version %d, want %v", got, r.version(), c.want)
			}
		})
	}
}

func TestSnapshotsFallDueByAgeAndCount(t *testing.T) {
	s := newStream()
	s.change(t, record("a", 0))
	for i := range 5 {
		s.change(t, record(fmt.Sprint("b", i), config.Version(i+1), exception("e", fmt.Sprint(i))))
	}
	hour := time.Hour
	cases := map[string]struct {
		opts Options
		rank int
		at   time.Duration
		want bool
	}{
		"a young stream needs none":                {Options{SnapshotEvery: hour}, 0, time.Minute, false},
		"an old one does":                          {Options{SnapshotEvery: hour}, 0, hour + time.Minute, true},
		"the next host leaves the first its start": {Options{SnapshotEvery: hour, Stagger: hour}, 1, hour + time.Minute, false},
		"many records need one soon":               {Options{SnapshotEvery: hour, SnapshotRecords: 6}, 0, time.Minute, true},
		"fewer do not":                             {Options{SnapshotEvery: hour, SnapshotRecords: 7}, 0, time.Minute, false},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			r := newReader(c.opts)
			r.follow(s, -1)
			acts := r.core.Step(start.Add(c.at), Tick{Rank: c.rank})
			if got := len(acts) > 0; got != c.want {
				t.Errorf("due %v, want %v", got, c.want)
			}
		})
	}
}

func TestRecordsBehindASnapshotFromAnotherHostAreStillRuledOn(t *testing.T) {
	s := newStream()
	r, other := newReader(Options{}), newReader(Options{})
	r.follow(s, -1)
	s.change(t, record("a", 0))
	s.change(t, record("b", 0))
	other.follow(s, -1)
	r.step(Offered{other.core.Since(0)})
	if v, ok := r.core.Accepted("a"); !ok || v != 1 {
		t.Errorf("accepted %v as version %d", ok, v)
	}
	r.follow(s, -1)
	if len(r.verdicts) != 1 || r.verdicts[0].Ruling != RulingConflict || r.verdicts[0].Record.ID != "b" {
		t.Errorf("verdicts %v", r.verdicts)
	}
}

func TestOlderSnapshotNeverReplacesANewerVersion(t *testing.T) {
	s := newStream()
	s.change(t, record("a", 0))
	ahead, behind := newReader(Options{}), newReader(Options{})
	behind.follow(s, -1)
	s.change(t, record("b", 1, exception("e", "b")))
	ahead.follow(s, -1)
	s.append(platform.Record{ID: "x", Type: "other"})
	s.append(platform.Record{ID: "y", Type: "other"})
	s.expire(3)
	ahead.follow(s, -1)
	if ahead.core.Known() {
		t.Fatal("the reader missed no record")
	}
	old := behind.core.Snapshot()
	for name, through := range map[string]model.Offset{"as it is": old.Through, "with a later offset": 9} {
		snap := *old
		snap.Through = through
		ahead.step(Offered{&Update{Snapshot: &snap}})
		if ahead.version() != 2 {
			t.Errorf("%s: version %d, want 2", name, ahead.version())
		}
	}
}
