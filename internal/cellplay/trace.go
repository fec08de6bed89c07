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
	// TaskSpread holds Kind.TaskSpread by queue, where it is set.
	TaskSpread map[string]float64
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
	// Burst multiplies the rate of urgent jobs for 5 s of every 12 s, if it is set.
	Burst float64
	// StopTime is the longest that a run takes to stop.
	StopTime time.Duration
	// ReclaimWithin and PreemptionWait are those of cell.Settings.
	ReclaimWithin  time.Duration
	PreemptionWait time.Duration
}

// Draw returns a random trace of a mix.
func Draw(m *Mix, s Params) Trace {
	t := Trace{Mix: m.Name, Params: s, Workers: workers(m, s.Workers), Policy: policy(m, s.Workers)}
	for n := range m.Kinds {
		if d := m.Kinds[n].TaskSpread; d > 0 {
			t.setTaskSpread(m.Kinds[n].Queue.Name, d)
		}
		t.Jobs = append(t.Jobs, arrivals(m, n, s)...)
	}
	if s.RejectingShare > 0 {
		t.Faults = []WorkerFault{{At: s.ArrivalPeriod / 3, Duration: s.ArrivalPeriod / 3, Mode: fleet.Rejecting, Share: s.RejectingShare, Seed: s.Seed}}
	}
	slices.SortStableFunc(t.Jobs, func(a, b Arrival) int { return cmp.Compare(a.At, b.At) })
	return t
}

func (t *Trace) setTaskSpread(queue string, spread float64) {
	if t.TaskSpread == nil {
		t.TaskSpread = make(map[string]float64)
	}
	t.TaskSpread[queue] = spread
}

// arrivals draws the jobs of one kind. Each kind has its own random source.
func arrivals(m *Mix, n int, s Params) []Arrival {
	k := &m.Kinds[n]
	rng := rand.New(rand.NewPCG(s.Seed, uint64(n)))
	between := float64(time.Second) / (k.JobsPerSecond * s.Load * float64(s.Workers))
	var out []Arrival
	for at := time.Duration(0); ; {
		at += time.Duration(rng.ExpFloat64() * between / s.rateAt(k, at))
		if at >= s.ArrivalPeriod {
			return out
		}
		id := job.ID(fmt.Sprintf("%s-%05d", k.Queue.Name, len(out)))
		j, work := k.drawJob(rng, id, m.Accounts[rng.IntN(len(m.Accounts))])
		j.SubmittedMS = at.Milliseconds()
		out = append(out, Arrival{At: at, Job: j, RunTimes: work})
	}
}

// rateAt returns the factor on a kind's arrival rate at a time.
func (s *Params) rateAt(k *Kind, at time.Duration) float64 {
	if s.Burst > 0 && k.Queue.Priority == 0 && at%(12*time.Second) >= 7*time.Second {
		return s.Burst
	}
	return 1
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
