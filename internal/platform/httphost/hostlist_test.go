package httphost_test

import (
	"context"
	"errors"
	"net/http/httptest"
	"testing"
	"time"

	"coltsfootmux/internal/model"
	"coltsfootmux/internal/platform"
	"coltsfootmux/internal/platform/httphost"
	"coltsfootmux/internal/standin/fault"
	"coltsfootmux/internal/standin/hostlist"
)

func TestHostListLagsBehindChanges(t *testing.T) {
	now := time.Unix(1000, 0)
	l := hostlist.New(hostlist.Options{Lag: 3 * time.Second, Clock: func() time.Time { return now }})
	srv := httptest.NewServer(l.Handler())
	defer srv.Close()
	c := httphost.New(srv.URL, httphost.Options{})
	defer c.Close()
	ctx := context.Background()
	states := func() []model.HostState {
		t.Helper()
		hs, err := c.Hosts(ctx)
		if err != nil {
			t.Fatal(err)
		}
		var out []model.HostState
		for _, h := range hs {
			out = append(out, h.State)
		}
		return out
	}
	host := model.Host{ID: "h1", Role: model.RoleEntry, Addr: "127.0.0.1:1"}
	l.Register(host)
	if got := states(); len(got) != 0 {
		t.Fatalf("shown at once: %v", got)
	}
	now = now.Add(3 * time.Second)
	if got := states(); len(got) != 1 || got[0] != model.HostLive {
		t.Fatalf("after the lag: %v", got)
	}
	l.Leave(host)
	l.SetLag(time.Second)
	l.Remove("h1")
	now = now.Add(time.Second)
	if got := states(); len(got) != 1 || got[0] != model.HostLive {
		t.Fatalf("a shorter lag let the removal overtake: %v", got)
	}
	now = now.Add(2 * time.Second)
	if got := states(); len(got) != 0 {
		t.Fatalf("after the removal: %v", got)
	}
	l.SetFault(fault.Fault{Down: true})
	if _, err := c.Hosts(ctx); !errors.Is(err, platform.ErrUnavailable) {
		t.Fatalf("down: %v", err)
	}
}
