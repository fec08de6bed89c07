package cellplay

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"coltsfootmux/internal/external"
	"coltsfootmux/internal/job"
	"coltsfootmux/internal/standin/fleet"
)

// Trace is the input of one simulation.
type Trace struct {
	Mix     string
	Params  Params
	Workers []external.Worker
	Policy  job.Policy
	Jobs    []Arrival
	// Faults are injected into workers while jobs arrive.
	Faults []WorkerFault
}

// Arrival is a job with its time of submission and its true run times.
type Arrival struct {
	At  time.Duration
	Job job.Job
	// RunTimes holds the true run time of a task of each step, which the core
	// doesn't know.
	RunTimes []time.Duration
}

// Params are the parameters from which a trace is drawn.
type Params struct {
	Workers int
	// Load is a factor on the arrival rates of the mix.
	Load float64
	// ArrivalPeriod is the time during which jobs arrive.
	ArrivalPeriod time.Duration
	Seed          uint64
	// RejectingShare is the fraction of the workers that fail every task they are
	// given in the middle third of ArrivalPeriod.
	RejectingShare float64
}

// Draw returns a random trace of a mix.
func Draw(m *Mix, s Params) Trace {
	t := Trace{Mix: m.Name, Params: s, Workers: workers(m, s.Workers), Policy: policy(m, s.Workers)}
	for n := range m.Kinds {
		t.Jobs = append(t.Jobs, arrivals(m, n, s)...)
	}
	if s.RejectingShare > 0 {
		t.Faults = []WorkerFault{{At: s.ArrivalPeriod / 3, Duration: s.ArrivalPeriod / 3, Mode: fleet.Rejecting, Share: s.RejectingShare, Seed: s.Seed}}
	}
	slices.SortStableFunc(t.Jobs, func(a, b Arrival) int { return cmp.Compare(a.At, b.At) })
	return t
}

// arrivals draws the jobs of one kind. Each kind has its own random source.
func arrivals(m *Mix, n int, s Params) []Arrival {
	k := &m.Kinds[n]
	rng := rand.New(rand.NewPCG(s.Seed, uint64(n)))
	between := float64(time.Second) / (k.JobsPerSecond * s.Load * float64(s.Workers))
	var out []Arrival
	for at := time.Duration(0); ; {
		at += time.Duration(rng.ExpFloat64() * between)
		if at >= s.ArrivalPeriod {
			return out
		}
		id := job.ID(fmt.Sprintf("%s-%05d", k.Queue.Name, len(out)))
		j, work := k.drawJob(rng, id, m.Accounts[rng.IntN(len(m.Accounts))])
		j.SubmittedMS = at.Milliseconds()
		out = append(out, Arrival{At: at, Job: j, RunTimes: work})
	}
}

func workers(m *Mix, count int) []external.Worker {
	var out []external.Worker
	for n := range count {
		rack := fmt.Sprintf("rack%d", n/m.WorkersPerRack)
		out = append(out, external.Worker{
			ID: external.WorkerID(fmt.Sprintf("w%04d", n)), Pool: pool, Capacity: m.WorkerCapacity,
			Labels: []string{rack}, Rack: rack, StartedMS: 1,
		})
	}
	return out
}

func policy(m *Mix, workers int) job.Policy {
	p := job.Policy{Version: 1, Pools: []job.Pool{{Name: pool, AdmissionCheck: true}}}
	each := int(m.GuaranteedShare * float64(m.WorkerCapacity.GPU*workers) / float64(len(m.Accounts)))
	for _, a := range m.Accounts {
		p.Accounts = append(p.Accounts, job.Account{Name: a, GuaranteedGPU: each})
	}
	return p
}
