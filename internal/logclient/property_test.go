package logclient_test

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"coltsfootmux/internal/logclient"
	"coltsfootmux/internal/standin/fault"
	"coltsfootmux/internal/standin/logstore"
	_ "coltsfootmux/internal/testseed"
)

// period is a length of time under one fault.
type period struct {
	lasts time.Duration
	fault fault.Fault
}

// write is one record that a client is asked to write.
type write struct {
	client  int
	after   time.Duration
	waits   bool
	patient time.Duration
}

func periods(t *rapid.T) []period {
	one := rapid.Custom(func(t *rapid.T) period {
		return period{
			lasts: time.Duration(rapid.IntRange(1, 600).Draw(t, "seconds")) * time.Second,
			fault: rapid.SampledFrom([]fault.Fault{
				{},
				{Down: true},
				{LoseAnswers: -1},
				{LoseAnswers: 2},
				{Slow: 3 * time.Second},
				{Slow: 20 * time.Second},
				{Paused: true},
				{Slow: time.Second, LoseAnswers: -1},
			}).Draw(t, "fault"),
		}
	})
	return rapid.SliceOfN(one, 1, 8).Draw(t, "periods")
}

func writes(t *rapid.T) []write {
	one := rapid.Custom(func(t *rapid.T) write {
		return write{
			client:  rapid.IntRange(0, 1).Draw(t, "client"),
			after:   time.Duration(rapid.IntRange(0, 120_000).Draw(t, "ms")) * time.Millisecond,
			waits:   rapid.Bool().Draw(t, "waits"),
			patient: time.Duration(rapid.IntRange(1, 60).Draw(t, "patience")) * time.Second,
		}
	})
	return rapid.SliceOfN(one, 1, 40).Draw(t, "writes")
}

// outcome is what writers were told and readers saw.
type outcome struct {
	mu   sync.Mutex
	told map[string]error
	read [2][]string
}

// play runs the writes under the periods, heals the log and lets all settle.
func play(t *testing.T, ss []period, ws []write) *outcome {
	out := &outcome{told: make(map[string]error)}
	synctest.Test(t, func(t *testing.T) {
		store := logstore.New(logstore.Options{Retention: 24 * time.Hour})
		ctx, cancel := context.WithCancel(context.Background())
		var clients [2]*logclient.Client
		var read [2]*collector
		for i := range clients {
			clients[i] = logclient.New(store.Client("home"), logclient.Options{Seed: uint64(i)})
			read[i] = &collector{}
			go func() { _ = clients[i].Follow(ctx, stream, 0, read[i].entry) }()
		}
		var writers sync.WaitGroup
		writers.Go(func() { out.write(ctx, clients[:], ws) })
		for _, s := range ss {
			store.SetFault(s.fault)
			time.Sleep(s.lasts)
		}
		store.SetFault(fault.Fault{})
		writers.Wait()
		settle(10 * time.Minute)
		for i := range clients {
			out.read[i] = read[i].all()
			clients[i].Close()
		}
		cancel()
	})
	return out
}

// write makes the writes one after another; those that wait do so on the side.
func (o *outcome) write(ctx context.Context, clients []*logclient.Client, ws []write) {
	var waiting sync.WaitGroup
	for i, w := range ws {
		time.Sleep(w.after)
		id := fmt.Sprint(i)
		c := clients[w.client]
		if !w.waits {
			o.tell(id, c.Enqueue(stream, record(id)))
			continue
		}
		waiting.Go(func() {
			ctx, cancel := context.WithTimeout(ctx, w.patient)
			defer cancel()
			_, err := c.Append(ctx, stream, record(id))
			o.tell(id, err)
		})
	}
	waiting.Wait()
}

func (o *outcome) tell(id string, err error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.told[id] = err
}

func TestReadersSeeEachRecordOnceUnderAnyFaults(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		out := play(t, periods(rt), writes(rt))
		for i, read := range out.read {
			times := make(map[string]int)
			for _, id := range read {
				times[id]++
			}
			for id, err := range out.told {
				n := times[id]
				switch {
				case n > 1:
					rt.Errorf("reader %d saw record %s %d times", i, id, n)
				case err == nil && n != 1:
					rt.Errorf("reader %d saw record %s, which was taken, %d times", i, id, n)
				case errors.Is(err, logclient.ErrNotRecorded) && n != 0:
					rt.Errorf("reader %d saw record %s, said not to be recorded", i, id)
				}
			}
		}
		if fmt.Sprint(out.read[0]) != fmt.Sprint(out.read[1]) {
			rt.Errorf("readers differ: %v and %v", out.read[0], out.read[1])
		}
	})
}
