package worker_test

import (
	"context"
	"strconv"
	"testing"
	"time"

	"coltsfootmux/internal/model"
	"coltsfootmux/internal/platform"
	"coltsfootmux/internal/standin/worker"
)

// BenchmarkStart measures one start with its grant and the end of its task, on a
// worker that runs seven other tasks. Bars and endings are kept for only a second
// of the worker's time, so that their number stays constant.
func BenchmarkStart(b *testing.B) {
	now := time.Unix(1_000_000, 0)
	w := worker.New(worker.Options{
		ID: "w1", Capacity: capacity, Clock: func() time.Time { return now },
		HistoryRetention: time.Second, BarRetention: time.Second,
	})
	ctx := context.Background()
	for i := range 7 {
		s := startOf(model.LeaseID("long"+strconv.Itoa(i)), worker.Spec{RunMS: 1 << 40})
		s.Grant.TTL = 30 * time.Minute
		if err := w.Start(ctx, s); err != nil {
			b.Fatal(err)
		}
	}
	renewal := platform.Renew{Cell: cell, Epoch: epoch, TTL: 30 * time.Minute}
	b.ReportAllocs()
	i := 0
	for b.Loop() {
		i++
		now = now.Add(time.Millisecond)
		if err := w.Start(ctx, startOf(model.LeaseID(strconv.Itoa(i)), worker.Spec{})); err != nil {
			b.Fatal(err)
		}
		if i%100_000 == 0 {
			if _, err := w.Renew(ctx, renewal); err != nil {
				b.Fatal(err)
			}
		}
	}
}

// BenchmarkHold measures the renewal of the holds of n key groups in one message.
func BenchmarkHold(b *testing.B) {
	for _, n := range []int{1, 64, 1024} {
		b.Run(strconv.Itoa(n), func(b *testing.B) {
			w := worker.New(worker.Options{ID: "w1", Capacity: capacity})
			ctx := context.Background()
			hs := make([]platform.Hold, n)
			for i := range hs {
				hs[i] = platform.Hold{Group: model.GroupID(i), Epoch: epoch, TTL: time.Minute}
			}
			b.ReportAllocs()
			for b.Loop() {
				held, err := w.Hold(ctx, hs)
				if err != nil {
					b.Fatal(err)
				}
				for i, h := range held {
					hs[i].Echo = h.Echo
				}
			}
		})
	}
}
