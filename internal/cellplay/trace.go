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
	// Outages are the times in which the store takes nothing.
	Outages []StoreOutage
	// Slowdowns are the times in which the owner's processor is slower, or faster.
	Slowdowns []Slowdown
	// CountFrom is the time from which jobs are counted; earlier ones run as well.
	CountFrom time.Duration
	// priorities are those of the jobs, once the simulation has begun.
	priorities map[int]bool
	// RemoteDataFactor and GangYieldRunTimes are those of the mix.
	RemoteDataFactor  float64
	GangYieldRunTimes float64
}

// Arrival is a job with its time of submission and its true run times.
type Arrival struct {
	At  time.Duration
	Job job.Job
	// RunTimes holds the true run time of a task of each step, which the core
	// doesn't know.
	RunTimes []time.Duration
	// FailureShare is the fraction of its runs that fail.
	FailureShare float64
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
	// DrainTime is how long a simulation waits for unfinished jobs, if not 0.
	DrainTime time.Duration
	// ProcessorSpeed is that of the owner's processor, relative to the costs of its work that the
	// simulation knows; 0 means that its work takes no time.
	ProcessorSpeed float64
	// Burst multiplies the arrivals of urgent jobs in the second fifth of ArrivalPeriod, if above 1.
	Burst float64
	// Acceptance has jobs refused that the owner lacks the processor time to start.
	Acceptance bool
	// StartAnswerTime is how long workers take to answer a start.
	StartAnswerTime time.Duration
}

// Draw returns a random trace of a mix.
func Draw(m *Mix, s Params) Trace {
	t := Trace{
		Mix: m.Name, Params: s, Workers: workers(m, s.Workers), Policy: policy(m, s.Workers),
		RemoteDataFactor: m.RemoteDataFactor, GangYieldRunTimes: m.GangYieldRunTimes,
	}
	for n := range m.Kinds {
		t.Jobs = append(t.Jobs, arrivals(m, n, s)...)
	}
	if s.RejectingShare > 0 {
		t.Faults = []WorkerFault{{At: s.ArrivalPeriod / 3, Duration: s.ArrivalPeriod / 3, Mode: fleet.Rejecting, Share: s.RejectingShare, Seed: s.Seed}}
	}
	slices.SortStableFunc(t.Jobs, func(a, b Arrival) int { return cmp.Compare(a.At, b.At) })
	return t
}

// placeStream keeps the random numbers of racks and failures apart from those of all else.
const placeStream = 1000

// arrivals draws the jobs of one kind. Each kind has its own random source.
func arrivals(m *Mix, n int, s Params) []Arrival {
	k := &m.Kinds[n]
	rng := rand.New(rand.NewPCG(s.Seed, uint64(n)))
	places := rand.New(rand.NewPCG(s.Seed, placeStream+uint64(n)))
	between := float64(time.Second) / (k.JobsPerSecond * s.Load * float64(s.Workers))
	var out []Arrival
	for at := time.Duration(0); ; {
		gap := rng.ExpFloat64() * between
		if k.Queue.Priority == 0 && s.Burst > 1 && at >= s.ArrivalPeriod/5 && at < 2*s.ArrivalPeriod/5 {
			gap /= s.Burst
		}
		at += time.Duration(gap)
		if at >= s.ArrivalPeriod {
			return out
		}
		id := job.ID(fmt.Sprintf("%s-%05d", k.Queue.Name, len(out)))
		j, work := k.drawJob(rng, id, m.Accounts[rng.IntN(len(m.Accounts))])
		j.SubmittedMS = at.Milliseconds()
		k.drawPlaces(places, &j, (s.Workers+m.WorkersPerRack-1)/m.WorkersPerRack)
		out = append(out, Arrival{At: at, Job: j, RunTimes: work, FailureShare: k.drawFailureShare(places)})
	}
}

func workers(m *Mix, count int) []external.Worker {
	var out []external.Worker
	for n := range count {
		rack := rackName(n / m.WorkersPerRack)
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
