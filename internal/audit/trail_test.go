package audit

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"coltsfootmux/internal/config"
	"coltsfootmux/internal/core/settings"
	"coltsfootmux/internal/logclient"
	"coltsfootmux/internal/platform"
	"coltsfootmux/internal/standin/fault"
	"coltsfootmux/internal/standin/logstore"
)

// process is a trail and a recorder that run on a log.
type process struct {
	trail  *Trail
	client *logclient.Client
	stop   context.CancelFunc
	done   chan struct{}
}

func startProcess(log *logstore.Store, o Options, delay time.Duration) *process {
	raw := log.Client("home")
	p := &process{client: logclient.New(raw, logclient.Options{}), done: make(chan struct{})}
	o.Log = p.client
	p.trail = New(o)
	rec := NewRecorder(raw, p.trail, delay, nil)
	ctx, stop := context.WithCancel(context.Background())
	p.stop = stop
	go func() {
		defer close(p.done)
		ended := make(chan struct{})
		go func() {
			_ = rec.Run(ctx)
			close(ended)
		}()
		_ = p.trail.Run(ctx)
		<-ended
	}()
	return p
}

func (p *process) end() {
	p.stop()
	<-p.done
	p.client.Close()
}

func publish(t *testing.T, log *logstore.Store, id string, base config.Version) {
	t.Helper()
	rec := &settings.Record{ID: id, Base: base, Author: "ada", Reason: "because " + id, At: time.Now()}
	rec.Change.Ops = []settings.Op{{PutException: &config.Exception{ID: "e", Reason: id, Account: "lab"}}}
	if base == 0 {
		rec.Change = settings.Change{Document: &config.Document{Accounts: []config.Account{{Name: "lab"}}}}
	}
	data, err := settings.EncodeRecord(rec)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := log.Client("home").Append(context.Background(), platform.StreamConfig,
		[]platform.Record{{ID: id, Type: settings.TypeChange, Data: data}}); err != nil {
		t.Fatal(err)
	}
}

func TestEveryRulingIsRecorded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := logstore.New(logstore.Options{})
		p := startProcess(log, Options{}, 0)
		defer p.end()
		publish(t, log, "a", 0)
		publish(t, log, "b", 1)
		publish(t, log, "c", 1)
		time.Sleep(10 * time.Second)
		got := p.trail.Find(Filter{})
		if len(got) != 3 {
			t.Fatalf("got %d entries: %v", len(got), got)
		}
		c, b := got[0], got[1]
		if c.Ruling != Conflict || c.Why == "" || c.Author != "ada" || c.Reason != "because c" || c.Version != 2 {
			t.Errorf("conflict recorded as %+v", c)
		}
		if b.Ruling != Accepted || b.Version != 2 || len(b.Changes) != 1 || b.Changes[0].Path != "exceptions[e]" || b.Changes[0].After == "" {
			t.Errorf("change recorded as %+v", b)
		}
		if n := len(p.trail.Find(Filter{Ruling: Conflict})); n != 1 {
			t.Errorf("%d conflicts", n)
		}
	})
}

func TestNoEntryIsLostInAnOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := logstore.New(logstore.Options{})
		p := startProcess(log, Options{MaxPending: 50}, 0)
		defer p.end()
		time.Sleep(time.Second)
		log.SetFault(fault.Fault{Down: true})
		added := 0
		for i := range 80 {
			err := p.trail.Add(t.Context(), Entry{ID: fmt.Sprint("x", i), At: time.Now(), Ruling: Refused})
			if errors.Is(err, ErrFull) {
				continue
			}
			added++
		}
		if added != 50 || p.trail.Room() {
			t.Fatalf("%d added, room for more %v: want 50 added, then refusals", added, p.trail.Room())
		}
		time.Sleep(20 * time.Minute)
		log.SetFault(fault.Fault{})
		time.Sleep(time.Minute)
		if n := len(p.trail.Find(Filter{})); n != added || p.trail.Pending() != 0 {
			t.Errorf("%d entries after the outage and %d pending, want %d and 0", n, p.trail.Pending(), added)
		}
	})
}

func TestChangeOfADeadPublisherIsRecorded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := logstore.New(logstore.Options{})
		publish(t, log, "a", 0)
		publish(t, log, "b", 1)
		// No process has written entries for them.
		p := startProcess(log, Options{}, 0)
		defer p.end()
		time.Sleep(10 * time.Second)
		if n := len(p.trail.Find(Filter{Author: "ada"})); n != 2 {
			t.Errorf("%d entries, want 2", n)
		}
	})
}

func TestSeveralProcessesRecordEachRulingOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := logstore.New(logstore.Options{})
		for i := range 3 {
			p := startProcess(log, Options{}, time.Duration(i)*2*time.Second)
			defer p.end()
		}
		publish(t, log, "a", 0)
		publish(t, log, "b", 1)
		time.Sleep(time.Minute)
		if n := len(log.Entries(platform.StreamAudit)); n != 2 {
			t.Errorf("%d records on the stream, want 2", n)
		}
	})
}

func TestTrailSurvivesTheLogsRetention(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := logstore.New(logstore.Options{Retention: time.Hour})
		p := startProcess(log, Options{Retention: time.Hour}, 0)
		for i := range 20 {
			if err := p.trail.Add(t.Context(), Entry{ID: fmt.Sprint("x", i), At: time.Now(), Ruling: Refused}); err != nil {
				t.Fatal(err)
			}
		}
		time.Sleep(5 * time.Hour)
		p.end()
		q := startProcess(log, Options{Retention: time.Hour}, 0)
		defer q.end()
		time.Sleep(10 * time.Second)
		if n := len(q.trail.Find(Filter{})); n != 20 {
			t.Errorf("%d entries after five retentions, want 20", n)
		}
	})
}

func TestFilters(t *testing.T) {
	at := time.Date(2026, 12, 3, 0, 0, 0, 0, time.UTC)
	e := Entry{Author: "ada", Ruling: Refused, At: at, Changes: []config.Change{{Path: "accounts[lab].share"}}}
	cases := map[string]struct {
		f    Filter
		want bool
	}{
		"an empty filter selects every entry":   {Filter{}, true},
		"the author selects":                    {Filter{Author: "ada"}, true},
		"another author does not":               {Filter{Author: "bob"}, false},
		"another ruling does not":               {Filter{Ruling: Accepted}, false},
		"a substring of a changed path selects": {Filter{Path: "lab"}, true},
		"a path that did not change does not":   {Filter{Path: "clinic"}, false},
		"the time Since itself selects":         {Filter{Since: at}, true},
		"the time Until itself does not":        {Filter{Until: at}, false},
		"a time before Since does not":          {Filter{Since: at.Add(1)}, false},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			if got := c.f.matches(&e); got != c.want {
				t.Errorf("got %v", got)
			}
		})
	}
}

func FuzzDecodeEntry(f *testing.F) {
	b, err := encMode.Marshal(&Entry{ID: "x", Changes: []config.Change{{Path: "a"}}})
	if err != nil {
		f.Fatal(err)
	}
	f.Add(b)
	f.Add([]byte{0xa1, 0x01})
	f.Fuzz(func(t *testing.T, b []byte) {
		e, err := decode(b)
		if err != nil {
			return
		}
		again, err := encMode.Marshal(&e)
		if err != nil {
			t.Fatal(err)
		}
		if _, err := decode(again); err != nil {
			t.Fatal(err)
		}
	})
}
