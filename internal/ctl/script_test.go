package ctl

import (
	"context"
	"errors"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	"coltsfootmux/internal/admin"
	"coltsfootmux/internal/audit"
	"coltsfootmux/internal/auth"
	"coltsfootmux/internal/confsync"
	"coltsfootmux/internal/logclient"
	"coltsfootmux/internal/model"
	"coltsfootmux/internal/process"
	"coltsfootmux/internal/standin/fault"
	"coltsfootmux/internal/standin/logstore"
	"coltsfootmux/internal/wire"
)

func TestMain(m *testing.M) {
	testscript.Main(m, map[string]func(){"coltsfootmuxctl": func() { process.Main(Command()) }})
}

const tokensYAML = `tokens:
  - {name: ada, role: operator, token: operator-token-0123456789}
  - {name: vera, role: viewer, token: viewer-token-0123456789}
  - {name: lab-client, role: account, account: lab, token: lab-token-0123456789}
`

// testSystem is an administration server with stand-ins for the log and the
// schedulers. Each script has its own.
type testSystem struct {
	log    *logstore.Store
	server *httptest.Server
	stores map[string]*confsync.Store
}

// fixedHosts is a host list that does not change.
type fixedHosts []model.Host

// Hosts returns the list.
func (h fixedHosts) Hosts(context.Context) ([]model.Host, error) { return h, nil }

// Exchange passes the push to the configuration store with the address.
func (s *testSystem) Exchange(ctx context.Context, addr string, push wire.ConfigPush) (wire.ConfigReply, error) {
	st := s.stores[addr]
	if st == nil {
		return wire.ConfigReply{}, errors.New("no such host")
	}
	return st.Exchange(ctx, "other", push), nil
}

// fakeSchedulers responds for the schedulers s1 and s2, of which s2 is down. A
// cancellation sent to s1 is redirected to s3, the owner of the job.
type fakeSchedulers struct {
	mu        sync.Mutex
	cancelled model.Key
}

func (*fakeSchedulers) Overview(_ context.Context, addr string) (wire.Overview, error) {
	if addr == "s2" {
		return wire.Overview{}, errors.New("down")
	}
	free := model.Shape{Slots: 3, Accelerators: 2}
	return wire.Overview{
		Host: "s1",
		Cells: []wire.CellView{{
			ID: "rix1-r1", Owner: "s1", Epoch: 33, Free: free, Total: model.Shape{Slots: 16, Accelerators: 16}, Fragmentation: 0.25,
			Workers: []wire.WorkerView{{ID: "w1", State: "up", Free: free, Tasks: 4}},
		}},
		Accounts: []wire.AccountView{{ID: "lab", Guaranteed: model.Shape{Slots: 4}, Used: model.Shape{Slots: 1}, Lent: model.Shape{Slots: 2}, Waiting: 7}},
	}, nil
}

func (*fakeSchedulers) Status(_ context.Context, addr string, q wire.StatusQuery) (wire.StatusReply, error) {
	if addr == "s2" {
		return wire.StatusReply{}, errors.New("down")
	}
	return wire.StatusReply{Items: []wire.Status{{Key: "k1", Account: q.Account, Kind: "sweep", State: wire.StateWaiting, StateReason: "no cell has room", Members: 8}}}, nil
}

func (s *fakeSchedulers) Cancel(_ context.Context, addr string, c wire.Cancel) (wire.CancelReply, error) {
	if addr == "s1" {
		return wire.CancelReply{Moved: true, Owner: model.Member{Host: "s3", Addr: "s3"}}, nil
	}
	if addr != "s3" || c.Account != "lab" {
		return wire.CancelReply{}, errors.New("down")
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	first := s.cancelled != c.Key
	s.cancelled = c.Key
	return wire.CancelReply{Cancelled: first, Reason: "ended"}, nil
}

func startTestSystem(t *testing.T, dir string) *testSystem {
	t.Helper()
	s := &testSystem{log: logstore.New(logstore.Options{}), stores: make(map[string]*confsync.Store)}
	raw := s.log.Client("home")
	client := logclient.New(raw, logclient.Options{})
	all := fixedHosts{
		{ID: "a1", Addr: "a1", Role: model.RoleAdmin, State: model.HostLive},
		{ID: "s1", Addr: "s1", Role: model.RoleScheduler, State: model.HostLive},
		{ID: "s2", Addr: "s2", Role: model.RoleScheduler, State: model.HostLeaving},
	}
	for _, h := range all[:2] {
		s.stores[h.Addr] = confsync.New(confsync.Options{
			Log: raw, Writer: client, Peers: s, Hosts: all, Self: h, AskInterval: 100 * time.Millisecond,
		})
	}
	trail := audit.New(audit.Options{Log: client})
	recorder := audit.NewRecorder(raw, trail, 0, nil)
	file := filepath.Join(dir, "tokens.yaml")
	if err := os.WriteFile(file, []byte(tokensYAML), 0o600); err != nil {
		t.Fatal(err)
	}
	tokenAuth, err := auth.NewTokens(file, nil)
	if err != nil {
		t.Fatal(err)
	}
	s.server = httptest.NewServer(admin.New(admin.Options{
		Configs: s.stores["a1"], Trail: trail, Hosts: all, Schedulers: &fakeSchedulers{}, Auth: tokenAuth, PublishTimeout: 2 * time.Second,
	}))
	ctx, stop := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	for _, run := range []func(context.Context) error{s.stores["a1"].Run, s.stores["s1"].Run, trail.Run, recorder.Run} {
		wg.Go(func() { _ = run(ctx) })
	}
	t.Cleanup(func() {
		s.server.Close()
		stop()
		wg.Wait()
		client.Close()
	})
	return s
}

func TestScripts(t *testing.T) {
	type systemKey struct{}
	testscript.Run(t, testscript.Params{
		Dir: "testdata/script",
		Setup: func(env *testscript.Env) error {
			s := startTestSystem(t, env.WorkDir)
			env.Setenv("COLTSFOOTMUX_SERVER", s.server.URL)
			env.Setenv("COLTSFOOTMUX_TOKEN", "operator-token-0123456789")
			env.Values[systemKey{}] = s
			return nil
		},
		Cmds: map[string]func(ts *testscript.TestScript, neg bool, args []string){
			// log up|down makes the log service available or unavailable.
			"log": func(ts *testscript.TestScript, _ bool, args []string) {
				s, _ := ts.Value(systemKey{}).(*testSystem)
				s.log.SetFault(fault.Fault{Down: args[0] == "down"})
			},
			// exits N ARGS... runs coltsfootmuxctl and checks that its exit status is N.
			"exits": func(ts *testscript.TestScript, _ bool, args []string) {
				got := "0"
				if err := ts.Exec("coltsfootmuxctl", args[1:]...); err != nil {
					var code interface{ ExitCode() int }
					if !errors.As(err, &code) {
						ts.Fatalf("%v", err)
					}
					got = string(rune('0' + code.ExitCode()))
				}
				if got != args[0] {
					ts.Fatalf("exit status %s, want %s", got, args[0])
				}
			},
			// eventually TEXT ARGS... repeats a coltsfootmuxctl command until its
			// standard output contains TEXT, at most 100 times.
			"eventually": func(ts *testscript.TestScript, _ bool, args []string) {
				for range 100 {
					_ = ts.Exec("coltsfootmuxctl", args[1:]...)
					if strings.Contains(ts.ReadFile("stdout"), args[0]) {
						return
					}
					time.Sleep(50 * time.Millisecond)
				}
				ts.Fatalf("standard output never contained %q", args[0])
			},
		},
	})
}
