package scenario_test

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"net/http"
	"time"

	"coltsfootmux/internal/logclient"
	"coltsfootmux/internal/platform"
	"coltsfootmux/internal/standin/fault"
	"coltsfootmux/internal/standin/logstore"
)

// callTimeout bounds the calls of every host in the scripts.
const callTimeout = 2 * time.Second

var noFault fault.Fault

var logCommands = []command{
	{"log", "log [retention=1h] [rate=300]", "starts the log service", startLog},
	{"fault", "fault log|WORKER JSON", "sets the faults of a stand-in by HTTP; {} for none", setFault},
	{"silence", "silence log|WORKER", "makes the connections in use go silent for good", silence},
	{"append", "append HOST STREAM ID [within=1h]", "appends a record, waits, and says what became of it", appendRecord},
	{"enqueue", "enqueue HOST STREAM COUNT [every=10ms] [prefix=HOST]", "writes records behind the caller's back", enqueue},
	{"follow", "follow HOST STREAM [from=0]", "starts a reader", follow},
	{"read", "read HOST STREAM", "says what the host's reader was handed", read},
	{"entries", "entries STREAM", "says how many entries the log keeps of a stream", entries},
	{"appends", "appends", "says how many appends took effect and how many were over the cap", appends},
	{"keep", "keep HOST STREAM COUNT retention=1h", "keeps as many records of a stream alive; after follow", keep},
}

func startLog(w *world, a *args) error {
	w.log = logstore.New(logstore.Options{
		Retention:        a.optDuration("retention", time.Hour),
		AppendsPerSecond: int(a.optNumber("rate", 300)),
	})
	w.serve("log:80", w.log.Handler())
	return nil
}

func setFault(w *world, a *args) error {
	return w.post(a.word("stand-in"), "/fault", a.word("fault"))
}

func silence(w *world, a *args) error { return w.post(a.word("stand-in"), "/silence", "{}") }

// post sends a stand-in one of its control calls.
func (w *world) post(to, path, body string) error {
	res, err := w.control.Post("http://"+to+path, "application/json", bytes.NewReader([]byte(body)))
	if err != nil {
		return err
	}
	defer res.Body.Close()
	if res.StatusCode != http.StatusOK {
		return fmt.Errorf("status %d", res.StatusCode)
	}
	return nil
}

func record(id string) platform.Record {
	return platform.Record{ID: id, Type: "test", Data: []byte(id)}
}

func appendRecord(w *world, a *args) error {
	h, s, id := w.host(a.word("host")), platform.Stream(a.word("stream")), a.word("id")
	ctx, cancel := context.WithTimeout(w.ctx, a.optDuration("within", time.Hour))
	defer cancel()
	offset, err := h.log.Append(ctx, s, record(id))
	switch {
	case err == nil:
		return outcomeLine(a, "recorded at %d", offset)
	case errors.Is(err, logclient.ErrNotRecorded):
		return outcomeLine(a, "not recorded")
	case errors.Is(err, logclient.ErrUnclear):
		return outcomeLine(a, "unclear")
	}
	return err
}

func enqueue(w *world, a *args) error {
	name := a.word("host")
	s, n := platform.Stream(a.word("stream")), a.number("count")
	every, prefix := a.optDuration("every", 10*time.Millisecond), a.option("prefix", name)
	full := 0
	for i := range n {
		if err := w.host(name).log.Enqueue(s, record(fmt.Sprint(prefix, i))); err != nil {
			full++
		}
		time.Sleep(every)
	}
	return outcomeLine(a, "enqueued %d, turned away %d", n, full)
}

func follow(w *world, a *args) error {
	h, s := w.host(a.word("host")), platform.Stream(a.word("stream"))
	from := a.optNumber("from", 0)
	r := &reader{}
	h.readers[s] = r
	opts := []logclient.FollowOption{logclient.OnReset(r.reset)}
	if k := h.keepers[s]; k != nil {
		opts = append(opts, logclient.WithKeeper(k))
	}
	go func() { _ = h.log.Follow(w.ctx, s, offsetOf(from), r.entry, opts...) }()
	return nil
}

func read(w *world, a *args) error {
	h, s := w.host(a.word("host")), platform.Stream(a.word("stream"))
	r, ok := h.readers[s]
	if !ok {
		return errors.New("no reader: use follow first")
	}
	records, doubled, resets := r.counts()
	return outcomeLine(a, "records %d, doubled %d, resets %d", records, doubled, resets)
}

func entries(w *world, a *args) error {
	return outcomeLine(a, "entries %d", len(w.log.Entries(platform.Stream(a.word("stream")))))
}

func appends(w *world, a *args) error {
	done, capped := w.log.Counts()
	return outcomeLine(a, "appends %d, over the cap %d", done, capped)
}

// keep has a host keep records alive that its own appends are to have written.
func keep(w *world, a *args) error {
	name := a.word("host")
	h, s, n := w.host(name), platform.Stream(a.word("stream")), a.number("count")
	live := func() []platform.Record {
		var out []platform.Record
		for i := range n {
			out = append(out, record(fmt.Sprint(name, i)))
		}
		return out
	}
	k := logclient.NewKeeper(h.log, s, a.optDuration("retention", time.Hour), live)
	h.keepers[s] = k
	go func() { _ = k.Run(w.ctx) }()
	return nil
}
