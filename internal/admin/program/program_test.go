package program_test

import (
	"bytes"
	"context"
	"encoding/json"
	"log/slog"
	"net/http"
	"testing"
	"time"

	"coltsfootmux/internal/admin"
	"coltsfootmux/internal/admin/program"
	"coltsfootmux/internal/dev"
	"coltsfootmux/internal/model"
	"coltsfootmux/internal/node"
)

const testTimeout = 60 * time.Second

// call sends a request and decodes the JSON response into out, if not nil.
func call(t *testing.T, method, url string, body, out any) int {
	t.Helper()
	var buf bytes.Buffer
	if body != nil {
		if err := json.NewEncoder(&buf).Encode(body); err != nil {
			t.Fatal(err)
		}
	}
	req, err := http.NewRequestWithContext(t.Context(), method, url, &buf)
	if err != nil {
		t.Fatal(err)
	}
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = res.Body.Close() }()
	if out != nil {
		if err := json.NewDecoder(res.Body).Decode(out); err != nil {
			t.Fatal(err)
		}
	}
	return res.StatusCode
}

func TestDrainIsInForceOnEveryHostOfADeployment(t *testing.T) {
	ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
	defer cancel()
	logger := slog.New(slog.DiscardHandler)
	size := dev.DefaultSize()
	size.Places, size.OwnHosts = size.Places[:1], 2
	c, err := dev.Start(ctx, size, logger)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Stop()
	if err := c.WaitForOwners(ctx); err != nil {
		t.Fatal(err)
	}
	p, err := program.New(program.Settings{Retention: time.Hour, MaxAuditEntries: 100, Node: node.Settings{
		HostID: "admin1", DataCentre: "riga-1", Region: "home", Listen: "127.0.0.1:0",
		LogURL: c.Platform.LogURL, HostsURL: c.Platform.HostsURL, DrainTimeout: time.Second,
	}}, logger)
	if err != nil {
		t.Fatal(err)
	}
	run, stop := context.WithCancel(ctx)
	done := make(chan error, 1)
	go func() { done <- p.Run(run) }()
	defer func() {
		stop()
		<-done
	}()
	url := "http://" + p.APIAddr()
	for call(t, http.MethodGet, url+"/readyz", nil, nil) != http.StatusOK {
		if ctx.Err() != nil {
			t.Fatal("the program did not become ready in time")
		}
		time.Sleep(20 * time.Millisecond)
	}

	var changed admin.ChangeResponse
	drain := admin.DrainRequest{Worker: "riga-1-rack1-w1", Reason: "fan replaced", WaitSeconds: 20}
	if got := call(t, http.MethodPost, url+"/v1/drain", drain, &changed); got != http.StatusOK {
		t.Fatalf("drain answered %d", got)
	}
	asked := make(map[model.HostID]bool)
	for _, h := range changed.Hosts {
		asked[h.Host] = h.Version >= changed.Version && h.Answered
	}
	for _, h := range c.Hosts {
		if !asked[h.Scheduler.Node.Self.ID] {
			t.Errorf("%s does not have the drain in force: %v", h.Name, changed.Hosts)
		}
	}

	var workers admin.WorkersResponse
	call(t, http.MethodGet, url+"/v1/status/workers", nil, &workers)
	drained := 0
	for _, w := range workers.Workers {
		if w.Drained {
			drained++
		}
	}
	if len(workers.Workers) != 16 || drained != 1 || len(workers.Unanswered) != 0 {
		t.Errorf("%d workers, %d drained, unanswered %v", len(workers.Workers), drained, workers.Unanswered)
	}
}
