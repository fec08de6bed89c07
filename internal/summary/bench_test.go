package summary_test

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/fxamacker/cbor/v2"

	"coltsfootmux/internal/summary"
)

// ways to keep a peer's copy.
const (
	full    = "full"    // the full state each time
	chained = "chained" // what changed since the last message, the full state after a loss
	acked   = "acked"   // what changed since the last acknowledged state
)

// traffic is one sender and its peer under changes and loss.
type traffic struct {
	rnd   *rand.Rand
	s     *summary.Sender
	r     *summary.Receiver
	known summary.Ack
	bytes int
	// behind counts updates after which the copy was not the present state.
	behind int
}

// update changes a share of the cells, sends one message and loses a share of them.
func (t *traffic) update(b *testing.B, way string, now []summary.Cell, share, loss float64) {
	for i := range now {
		if t.rnd.Float64() < share {
			change(t.rnd, &now[i])
		}
	}
	t.s.Update(now)
	from := t.known
	if way == full {
		from = summary.Ack{}
	}
	m := t.s.Message(from)
	if m.Empty() || m.State == t.known.State && m.Run == t.known.Run {
		return
	}
	raw, err := cbor.Marshal(m)
	if err != nil {
		b.Fatal(err)
	}
	t.bytes += len(raw)
	if t.rnd.Float64() < loss {
		t.behind++
		if way == chained {
			t.known = summary.Ack{}
		}
		return
	}
	t.known = t.r.Apply(&m)
	if t.known.State != t.s.State() {
		b.Fatal("the copy is not the present state")
	}
}

// BenchmarkWays gives the bytes of one update to one peer. Nothing is sent when
// nothing has changed, whichever the way.
func BenchmarkWays(b *testing.B) {
	for _, n := range []int{7, 1600} {
		for _, loss := range []float64{0, 0.01, 0.1, 0.3} {
			for _, share := range []float64{0.001, 0.01, 0.1, 0.5} {
				for _, way := range []string{full, chained, acked} {
					b.Run(fmt.Sprintf("cells=%d/loss=%g/change=%g/way=%s", n, loss, share, way), func(b *testing.B) {
						rnd := rand.New(rand.NewPCG(20261203, 0))
						now := cells(rnd, n)
						t := &traffic{rnd: rnd, s: summary.NewSender(1), r: summary.NewReceiver()}
						t.update(b, way, now, 0, 0)
						t.bytes = 0
						b.ReportAllocs()
						for b.Loop() {
							t.update(b, way, now, share, loss)
						}
						b.ReportMetric(float64(t.bytes)/float64(b.N), "bytes/update")
						b.ReportMetric(float64(t.behind)/float64(b.N), "behind/update")
					})
				}
			}
		}
	}
}
