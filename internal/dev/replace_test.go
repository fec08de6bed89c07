package dev

import (
	"context"
	"fmt"
	"log/slog"
	"testing"
	"time"

	"coltsfootmux/internal/load"
)

// testTimeout limits the duration of a test.
const testTimeout = 60 * time.Second

// Replaces all of the system's own hosts under load, one after another: each old
// host is killed after its replacement has started. No outcome may be lost, no
// task started twice, and no task started whose caller was told not_run.
func TestAllOwnHostsAreReplacedUnderLoad(t *testing.T) {
	ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
	defer cancel()
	c, err := Start(ctx, DefaultSize(), slog.New(slog.DiscardHandler))
	if err != nil {
		t.Fatal(err)
	}
	defer c.Stop()
	if err := c.WaitForOwners(ctx); err != nil {
		t.Fatal(err)
	}
	caller := load.NewHTTPCaller(c.URLs(), "")
	defer caller.Close()
	drv := &load.Driver{Caller: caller, Tally: load.NewTally(), Body: taskBody}
	mix := append(load.Cooperative(AccountOrders, AccountPlanning), load.Observatory(AccountAnalysts, AccountIndex)...)
	done := make(chan struct{})
	go func() {
		defer close(done)
		drv.Run(ctx, load.Schedule(mix, 7*time.Second, 0.5, 1))
	}()
	for i, old := range append([]*OwnHost(nil), c.Hosts...) {
		h, err := c.startHost(fmt.Sprintf("new%d", i+1), old.Place)
		if err != nil {
			t.Fatal(err)
		}
		c.Hosts = append(c.Hosts, h)
		caller.AddHost(h.URL())
		time.Sleep(time.Second)
		caller.RemoveHost(old.URL())
		old.Kill()
		c.Platform.Hosts.Remove(old.Scheduler.Node.Self.ID)
	}
	<-done
	drv.Tally.Check(c.Platform.RunHistory())
	total := drv.Tally.Total()
	if total.Violations() > 0 {
		t.Errorf("%d doubled, %d lost, %d untrue of %d", total.Doubled, total.Lost, total.Untrue, total.Sent)
	}
	if total.Done == 0 {
		t.Errorf("none of %d done: %v", total.Sent, drv.Tally.Reasons())
	}
	t.Logf("%d sent, %d done, %d not_run, %d unknown, p99 %v", total.Sent, total.Done, total.NotRun, total.Unknown, total.Quantile(p99Quantile))
}

const p99Quantile = 99
