package entry_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/google/uuid"

	"coltsfootmux/internal/auth"
	"coltsfootmux/internal/config"
	"coltsfootmux/internal/entry"
	"coltsfootmux/internal/link"
	"coltsfootmux/internal/model"
	"coltsfootmux/internal/wire"
)

// testTimeout bounds waits for network connections.
const testTimeout = 10 * time.Second

// document returns a configuration with two cells and two accounts, of which labs
// may use only dc-b.
func document() config.Document {
	d := config.Document{
		Fleet: config.Fleet{
			DataCentres: []config.DataCentre{{Name: "dc-a", Region: "home"}, {Name: "dc-b", Region: "far"}},
			KeyGroups:   8, CellsPerGroup: 1, Witnesses: 3,
		},
		Defaults: config.Defaults{
			CallerSkew: config.Duration(5 * time.Second), RatePerSecond: 1000, Concurrency: 100,
			RetryShare: 0.1, BodyLimitBytes: 1 << 20,
		},
		Accounts: []config.Account{
			{Name: "farms"},
			{Name: "labs", DataCentres: []model.DataCentre{"dc-b"}, Concurrency: 1},
		},
	}
	for _, c := range []struct {
		id   model.CellID
		dc   model.DataCentre
		accs int
	}{{"a1", "dc-a", 8}, {"b1", "dc-b", 2}} {
		cell := model.Cell{ID: c.id, DataCentre: c.dc}
		for i := range 2 {
			cell.Workers = append(cell.Workers, model.Worker{
				ID:       model.WorkerID(fmt.Sprintf("%s-%d", c.id, i)),
				Capacity: model.Shape{Slots: 8, Accelerators: c.accs, CPUMilli: 32000, MemoryMB: 128 << 10},
			})
		}
		d.Fleet.Cells = append(d.Fleet.Cells, cell)
	}
	return d
}

// fixedConfig is an entry.Configs with a constant configuration.
type fixedConfig struct{ v *config.Versioned }

func (f fixedConfig) Current() *config.Versioned { return f.v }

// hostList is a host list that tests can change.
type hostList struct {
	mu    sync.Mutex
	hosts []model.Host
}

func (h *hostList) Hosts(context.Context) ([]model.Host, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.hosts, nil
}

func (h *hostList) set(addrs ...string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.hosts = nil
	for i, a := range addrs {
		h.hosts = append(h.hosts, model.Host{
			ID: model.HostID(fmt.Sprint("s", i)), Role: model.RoleScheduler, Addr: a, State: model.HostLive,
		})
	}
}

// fakeScheduler records the calls that it receives.
type fakeScheduler struct {
	addr string
	srv  *link.Server
	http *httptest.Server

	mu      sync.Mutex
	submits []wire.Submit
	cancels []wire.Cancel
	// submit answers submits; nil answers with the work's body.
	submit func(context.Context, wire.Submit) (wire.SubmitReply, error)
	status func(wire.StatusQuery) wire.StatusReply
	// cancel is the reply to cancels; the zero value stands for a successful one.
	cancel wire.CancelReply
}

func newFakeScheduler(t *testing.T) *fakeScheduler {
	t.Helper()
	f := &fakeScheduler{srv: link.NewServer(link.ServerOptions{})}
	link.Handle(f.srv, wire.KindSubmit, f.onSubmit)
	link.Handle(f.srv, wire.KindCancel, f.onCancel)
	link.Handle(f.srv, wire.KindStatus, f.onStatus)
	mux := http.NewServeMux()
	mux.Handle(link.Path, f.srv)
	f.http = httptest.NewServer(mux)
	f.addr = f.http.Listener.Addr().String()
	t.Cleanup(f.kill)
	return f
}

// kill closes every link and the listener at once.
func (f *fakeScheduler) kill() {
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	_ = f.srv.Shutdown(ctx)
	f.http.Close()
}

func (f *fakeScheduler) onSubmit(ctx context.Context, _ link.Peer, q wire.Submit) (wire.SubmitReply, error) {
	f.mu.Lock()
	f.submits = append(f.submits, q)
	answer := f.submit
	f.mu.Unlock()
	if answer != nil {
		return answer(ctx, q)
	}
	return doneReply(q.Work.Body), nil
}

func doneReply(body []byte) wire.SubmitReply {
	return wire.SubmitReply{Result: model.Result{Outcome: model.OutcomeDone, Reason: model.ReasonOK, Answer: body}}
}

func (f *fakeScheduler) onCancel(_ context.Context, _ link.Peer, q wire.Cancel) (wire.CancelReply, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.cancels = append(f.cancels, q)
	if f.cancel == (wire.CancelReply{}) {
		return wire.CancelReply{Cancelled: true}, nil
	}
	return f.cancel, nil
}

func (f *fakeScheduler) onStatus(_ context.Context, _ link.Peer, q wire.StatusQuery) (wire.StatusReply, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.status == nil {
		return wire.StatusReply{}, nil
	}
	return f.status(q), nil
}

func (f *fakeScheduler) submitted() []wire.Submit {
	f.mu.Lock()
	defer f.mu.Unlock()
	return append([]wire.Submit(nil), f.submits...)
}

// testSystem is an entry host in front of fake schedulers.
type testSystem struct {
	*entry.Server
	url   string
	hosts *hostList
	http  *httptest.Server
}

func newSystem(t *testing.T, a auth.Authenticator, doc config.Document, schedulers ...*fakeScheduler) *testSystem {
	t.Helper()
	var addrs []string
	for _, s := range schedulers {
		addrs = append(addrs, s.addr)
	}
	return startSystem(t, entry.Options{Auth: a}, doc, link.PoolOptions{}, addrs...)
}

func newSystemWithPool(t *testing.T, doc config.Document, o link.PoolOptions, addrs ...string) *testSystem {
	t.Helper()
	return startSystem(t, entry.Options{}, doc, o, addrs...)
}

// startSystem starts an entry host whose host list has schedulers at addrs.
func startSystem(t *testing.T, o entry.Options, doc config.Document, po link.PoolOptions, addrs ...string) *testSystem {
	t.Helper()
	hosts := &hostList{}
	hosts.set(addrs...)
	po.Seed = 1
	pool := link.NewPool(po)
	o.Pool, o.Hosts, o.Configs = pool, hosts, fixedConfig{&config.Versioned{Version: 1, Document: doc}}
	o.HostsInterval, o.Seed = 10*time.Millisecond, 1
	if o.BodyTimeout == 0 {
		o.BodyTimeout = testTimeout
	}
	srv, err := entry.New(o)
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	ran := make(chan struct{})
	go func() {
		defer close(ran)
		srv.Run(ctx)
	}()
	hs := httptest.NewServer(srv.Handler())
	t.Cleanup(func() {
		hs.Close()
		cancel()
		<-ran
		_ = pool.Close()
	})
	sys := &testSystem{Server: srv, url: hs.URL, hosts: hosts, http: hs}
	sys.awaitReady(t)
	return sys
}

func (s *testSystem) awaitReady(t *testing.T) {
	t.Helper()
	for end := time.Now().Add(testTimeout); !s.Ready(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("not ready")
		}
	}
}

// httpReply is an HTTP response with its whole body.
type httpReply struct {
	status int
	header http.Header
	body   string
	// closesConnection means that the server closes the connection after the response.
	closesConnection bool
}

func (s *testSystem) do(t *testing.T, method, path, body string, headers ...string) httpReply {
	t.Helper()
	req, err := http.NewRequest(method, s.url+path, strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	for i := 0; i < len(headers); i += 2 {
		req.Header.Set(headers[i], headers[i+1])
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(resp.Body)
	if err != nil {
		t.Fatal(err)
	}
	return httpReply{status: resp.StatusCode, header: resp.Header, body: string(b), closesConnection: resp.Close}
}

func newKey() string { return uuid.Must(uuid.NewV7()).String() }
