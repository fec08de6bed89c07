package journal_test

import (
	"strconv"
	"testing"
	"time"

	"coltsfootmux/internal/core/journal"
	"coltsfootmux/internal/platform"
)

// outage keeps a Writer with a full queue before a log that is down for an
// hour. It gives the appends tried and the bytes of record data sent in vain.
func outage() (tries, bytes int, w *journal.Writer, now time.Time) {
	w, now = journal.NewWriter(journal.DefaultConfig()), t0
	data := make([]byte, 500)
	for i := range 10_000 {
		w.Step(now, journal.Submitted{Stream: stream, Record: platform.Record{ID: strconv.Itoa(i), Data: data}})
	}
	now = now.Add(time.Second)
	w.Step(now, journal.Tick{})
	out := w.Step(now, journal.Located{Stream: stream, Bounds: platform.Bounds{Oldest: 1, Next: 1}})
	for now.Sub(t0) < time.Hour || len(out) > 0 {
		for _, a := range out {
			if a, ok := a.(journal.Append); ok {
				tries++
				for _, r := range a.Records {
					bytes += len(r.Data)
				}
			}
		}
		if len(out) > 0 {
			out = w.Step(now, journal.Appended{Stream: stream, Failure: journal.FailNothing, Jitter: 0.5})
			continue
		}
		now, _ = w.Due()
		out = w.Step(now, journal.Tick{})
	}
	return tries, bytes, w, now
}

// BenchmarkOutage gives what a process sends in vain to a log that is down.
func BenchmarkOutage(b *testing.B) {
	var tries, bytes int
	for b.Loop() {
		tries, bytes, _, _ = outage()
	}
	b.ReportMetric(float64(tries)/3600, "appends/s")
	b.ReportMetric(float64(bytes)/3600, "bytes/s")
}

// A node may spend 19 KB a second on control, all of it together.
func TestOutageCostsLittleOfTheLink(t *testing.T) {
	_, bytes, _, _ := outage()
	if perSecond := bytes / 3600; perSecond > 19_000/2 {
		t.Errorf("%d bytes a second sent in vain", perSecond)
	}
}

func TestBatchesAreWholeAgainAfterAnOutage(t *testing.T) {
	_, _, w, now := outage()
	now = now.Add(time.Minute)
	out := w.Step(now, journal.Tick{})
	var sizes []int
	for range 3 {
		if len(out) != 1 {
			t.Fatalf("%d actions", len(out))
		}
		sizes = append(sizes, len(out[0].(journal.Append).Records))
		now = now.Add(time.Second)
		out = w.Step(now, journal.Appended{Stream: stream, First: 1})
	}
	if full := journal.DefaultConfig().BatchRecords; sizes[0] >= full || sizes[1] != full || sizes[2] != full {
		t.Errorf("batches of %v", sizes)
	}
}
