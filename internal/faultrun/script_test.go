package faultrun

import (
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	"coltsfootmux/internal/model"
	"coltsfootmux/internal/standin/worker"
)

// simKey holds a script's run.
type simKey struct{}

// runner of one script's commands.
type script struct {
	ts  *testscript.TestScript
	sim *Sim
}

func TestScenarios(t *testing.T) {
	testscript.Run(t, testscript.Params{
		Dir:   "testdata",
		Setup: func(e *testscript.Env) error { e.Values[simKey{}] = &script{}; return nil },
		Cmds: map[string]func(*testscript.TestScript, bool, []string){
			"fleet":  command((*script).fleet),
			"run":    command((*script).run),
			"send":   command((*script).sendCmd),
			"repeat": command((*script).repeat),
			"cancel": command((*script).cancel),
			"host":   command((*script).hostCmd),
			"worker": command((*script).workerCmd),
			"log":    command((*script).logCmd),
			"net":    command((*script).netCmd),
			"expect": command((*script).expect),
			"show":   command((*script).show),
		},
	})
}

func command(do func(*script, []string)) func(*testscript.TestScript, bool, []string) {
	return func(ts *testscript.TestScript, _ bool, args []string) {
		s := ts.Value(simKey{}).(*script)
		s.ts = ts
		do(s, args)
	}
}

func (s *script) need(ok bool, usage string) {
	if !ok {
		s.ts.Fatalf("usage: %s", usage)
	}
}

func (s *script) num(v string) int {
	n, err := strconv.Atoi(v)
	s.ts.Check(err)
	return n
}

func (s *script) share(v string) float64 {
	f, err := strconv.ParseFloat(v, 64)
	s.ts.Check(err)
	return f
}

func (s *script) dur(v string) time.Duration {
	d, err := time.ParseDuration(v)
	s.ts.Check(err)
	return d
}

// fleet hosts=3 workers=24 groups=8 regions=1 seed=1
func (s *script) fleet(args []string) {
	f := Fleet{Hosts: 3, Workers: 24, Groups: 8, Regions: 1, Seed: 1}
	for _, a := range args {
		name, v, _ := strings.Cut(a, "=")
		switch name {
		case "hosts":
			f.Hosts = s.num(v)
		case "workers":
			f.Workers = s.num(v)
		case "groups":
			f.Groups = s.num(v)
		case "regions":
			f.Regions = s.num(v)
		case "seed":
			f.Seed = uint64(s.num(v))
		default:
			s.ts.Fatalf("unknown size %q", name)
		}
	}
	s.sim = New(f)
}

func (s *script) run(args []string) {
	s.need(len(args) == 1, "run duration")
	s.sim.Run(s.dur(args[0]))
}

// send 100 reservations|checks over 10s
func (s *script) sendCmd(args []string) {
	s.need(len(args) == 4 && args[2] == "over", "send n reservations|checks over duration")
	n := s.num(args[0])
	s.sim.sendMany(n, s.dur(args[3])/time.Duration(n), args[1] == "checks")
}

// repeat sends every request once more, through another entry host.
func (s *script) repeat([]string) {
	for i, r := range s.sim.requests {
		if !r.repeat {
			s.sim.entries[(i+1)%len(s.sim.entries)].submit(r.work, true)
		}
	}
}

// cancel all
func (s *script) cancel([]string) {
	for _, r := range s.sim.requests {
		if r.result == nil {
			s.sim.cancel(r)
		}
	}
}

// host h1 kill|replace|drain|pause [duration]
func (s *script) hostCmd(args []string) {
	s.need(len(args) >= 2, "host name kill|replace|drain|pause [duration]")
	h := s.sim.host(args[0])
	s.need(h != nil, "host name kill|replace|drain|pause [duration]")
	switch args[1] {
	case "kill":
		h.kill()
	case "replace":
		h.start()
	case "drain":
		h.drain()
	case "pause":
		h.paused = s.sim.now.Add(s.dur(args[2]))
	default:
		s.ts.Fatalf("unknown verb %q", args[1])
	}
}

// worker w1 kill|restart|bad
func (s *script) workerCmd(args []string) {
	s.need(len(args) == 2, "worker name kill|restart|bad")
	m := s.sim.byWorker[model.WorkerID(args[0])]
	s.need(m != nil, "worker name kill|restart|bad")
	switch args[1] {
	case "kill":
		m.dead = true
		m.w.Restart()
	case "restart":
		m.w.Restart()
	case "bad":
		m.w.SetFault(worker.Fault{FailAll: true})
	default:
		s.ts.Fatalf("unknown verb %q", args[1])
	}
}

// log down|slow duration, log lost share
func (s *script) logCmd(args []string) {
	s.need(len(args) == 2, "log down|slow duration, log lost share")
	switch args[0] {
	case "down":
		s.sim.log.down = s.sim.now.Add(s.dur(args[1]))
	case "slow":
		s.sim.log.slow = s.sim.now.Add(s.dur(args[1]))
		s.sim.log.slowBy = 3 * time.Second
	case "lost":
		s.sim.log.lost = s.share(args[1])
	}
}

// net lost|doubled|slow share, net cut region duration, net silent a b
func (s *script) netCmd(args []string) {
	s.need(len(args) >= 2, "net lost|doubled|slow share, net cut region duration, net silent a b")
	f := &s.sim.net.faults
	switch args[0] {
	case "lost":
		f.Lost = s.share(args[1])
	case "doubled":
		f.Doubled = s.share(args[1])
	case "slow":
		f.Slow = s.share(args[1])
	case "cut":
		s.sim.net.cut[model.Region(args[1])] = s.sim.now.Add(s.dur(args[2]))
	case "silent":
		s.sim.net.silent[[2]string{args[1], args[2]}] = true
	}
}

// expect what =|<=|>= n
func (s *script) expect(args []string) {
	s.need(len(args) == 3, "expect what =|<=|>= n")
	got, ok := s.count(args[0])
	if !ok {
		s.ts.Fatalf("nothing counts %q", args[0])
	}
	want := s.num(args[2])
	fits := map[string]bool{"=": got == want, "<=": got <= want, ">=": got >= want}
	if !fits[args[1]] {
		s.ts.Fatalf("%s: %d, want %s %d (%+v)", args[0], got, args[1], want, s.sim.Report())
	}
}

func (s *script) count(what string) (int, bool) {
	r := s.sim.Report()
	switch what {
	case "requests":
		return r.Requests, true
	case "done":
		return r.Done, true
	case "not_run":
		return r.NotRun, true
	case "unknown":
		return r.Unknown, true
	case "lost":
		return r.Lost, true
	case "doubled":
		return r.Doubled, true
	case "untrue":
		return r.Untrue, true
	case "crossed":
		return r.Crossed, true
	case "unowned":
		return s.sim.unowned(), true
	case "owned_twice":
		return s.sim.startableTwice(), true
	case "claims":
		return len(s.sim.log.claims), true
	case "cancels_open":
		return s.sim.cancelsOpen, true
	case "started_after_cancel":
		return s.sim.startedAfterCancel(), true
	}
	return 0, false
}

// show prints the counts.
func (s *script) show([]string) {
	s.ts.Logf("%+v unowned %d claims %d", s.sim.Report(), s.sim.unowned(), len(s.sim.log.claims))
}
