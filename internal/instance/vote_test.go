package instance

import (
	"log/slog"
	"testing"
	"time"

	"coltsfootmux/internal/core/term"
	"coltsfootmux/internal/external"
)

func voteRecord(t testing.TB, v term.Vote) external.Record {
	t.Helper()
	value, err := encodeRecord(v)
	if err != nil {
		t.Fatal(err)
	}
	return external.Record{Key: keyVote + "n1", Value: value}
}

// TestOddRecordsInTheTopicOfTheTermAreSkipped guards against a record that keeps instances from reading the
// term behind it.
func TestOddRecordsInTheTopicOfTheTermAreSkipped(t *testing.T) {
	i := newRig(t, 1).nodes[0].inst
	value, err := encodeRecord(term.Record{Term: 1 << 40, Owner: "x/1", Addr: "127.0.0.1:1"})
	if err != nil {
		t.Fatal(err)
	}
	i.handleTermRecords(external.Page{Records: []external.Record{
		{Key: keyVote + "n1", Value: []byte("odd")},
		{Key: keyVote, Value: nil},
		{Key: "of a later version", Value: []byte{0xff}},
		{Key: keyTerm, Value: []byte("odd")},
		voteRecord(t, term.Vote{Term: -1, Reason: 200}),
		{Key: keyTerm, Value: value, Offset: 1 << 30},
	}, Next: 1<<30 + 1})
	if got := i.latestTermRecord().Term; got != 1<<40 {
		t.Errorf("latest term %d", got)
	}
}

// Earlier versions decode each record under the key of the term, and skip all others.
func TestVotesHaveKeysOfTheirOwn(t *testing.T) {
	r := voteRecord(t, term.Vote{Term: 3, Voter: 7, Reason: term.VoteSilent})
	if r.Key == keyTerm {
		t.Fatal("a vote under the key of the term")
	}
	var v term.Vote
	if err := decodeRecord(r.Value, &v); err != nil || v != (term.Vote{Term: 3, Voter: 7, Reason: term.VoteSilent}) {
		t.Errorf("decoded as %+v, %v", v, err)
	}
}

// FuzzTermRecords decodes arbitrary bytes as a record of the topic of the term and passes the result to
// the core of an owner.
func FuzzTermRecords(f *testing.F) {
	f.Add(true, voteRecord(f, term.Vote{Term: 1, Voter: 1, Reason: term.VoteSilent}).Value)
	f.Add(true, []byte(nil))
	f.Add(true, []byte{0xa1, 0x01, 0x20})
	f.Add(false, []byte{0xa1, 0x09, 0x3b, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff})
	i := New(Options{Settings: Settings{Name: "n0", Incarnation: "n0/1"}, Logger: slog.New(slog.DiscardHandler)})
	f.Fuzz(func(t *testing.T, vote bool, value []byte) {
		c := term.New(fastTermSettings(0), "n0/1", "127.0.0.1:1")
		own := term.Record{Term: 1, Owner: "n0/1", Addr: "127.0.0.1:1", Witnesses: []term.Witness{{ID: 1}, {ID: 2}}}
		c.Step(time.Second, term.ReadResult{End: 0})
		c.Step(time.Second, term.WriteResult{Record: own, End: 1, SentAt: time.Second})
		ev := term.ReadResult{End: 2}
		if vote {
			if v, ok := i.decodeVote(external.Record{Key: keyVote + "n1", Value: value, Offset: 1}); ok {
				ev.Votes = append(ev.Votes, v)
			}
		} else {
			var rec term.Record
			if decodeRecord(value, &rec) == nil {
				ev.Records = append(ev.Records, rec)
			}
		}
		now := time.Second
		for _, a := range c.Step(now, ev) {
			if l, ok := a.(term.Lost); ok && l.Reason == term.ReasonVotedOut {
				t.Errorf("one vote of two ends the term")
			}
		}
		if d := c.LeastTenure(); d < time.Second || d > time.Minute {
			t.Errorf("least tenure %v", d)
		}
		c.Step(now+time.Second, term.Tick{})
	})
}
