package experiment

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"coltsfootmux/internal/config"
	"coltsfootmux/internal/model"
)

// stream keeps the random streams of different traces apart.
const stream = 0x636f6c7473

// wrongFactor bounds how far declared run times and uses are from the truth.
const wrongFactor = 30

// draw makes the work of a trace out of one seed.
type draw struct {
	rng  *rand.Rand
	size model.Shape
	jobs []Job
}

func newDraw(seed uint64, size model.Shape) *draw {
	return &draw{rng: rand.New(rand.NewPCG(seed, stream)), size: size}
}

// sort of work, from which jobs are drawn.
type sort struct {
	group string
	kind  model.Kind
	class model.Class
	// shape is a member's size in eighths of a worker; several are drawn from.
	eighths []int
	members []int
	adj     model.Adjacency
	// median run time and its spread as a factor.
	run    time.Duration
	spread float64
	// preemptible work is idempotent as well.
	preemptible bool
	idempotent  bool
	accounts    []model.Account
	// slotOnly work takes no accelerators.
	slotOnly bool
}

func (d *draw) add(at time.Duration, s sort) {
	n := len(d.jobs)
	run := time.Duration(float64(s.run) * math.Exp(d.rng.NormFloat64()*math.Log(s.spread)))
	shape := eighth(d.size).Times(pick(d.rng, s.eighths))
	if s.slotOnly {
		shape.Accelerators = 0
	}
	j := Job{
		At: at, Group: s.group, Run: max(run, 50*time.Millisecond),
		Checkpoint: d.between(time.Second, 6*time.Second),
		Work: model.Work{
			Key:     model.Key(fmt.Sprintf("%s-%05d", s.group, n)),
			Account: pick(d.rng, s.accounts), Kind: s.kind, Class: s.class,
			Members: pick(d.rng, s.members), Shape: shape, Adjacency: s.adj,
			Preemptible: s.preemptible, Idempotent: s.preemptible || s.idempotent,
		},
	}
	j.Work.DeclaredRun = time.Duration(float64(j.Run) * d.wrong())
	if d.chance(0.02) {
		j.Checkpoint = time.Hour
	}
	if d.chance(0.1) {
		j.UsesFactor = d.wrong()
	}
	d.jobs = append(d.jobs, j)
}

// wrong gives a factor between 1/30 and 30.
func (d *draw) wrong() float64 {
	return math.Exp((2*d.rng.Float64() - 1) * math.Log(wrongFactor))
}

func (d *draw) chance(p float64) bool { return d.rng.Float64() < p }

func (d *draw) between(from, to time.Duration) time.Duration {
	return from + time.Duration(d.rng.Int64N(int64(to-from)))
}

// steady adds work at a mean distance from one to the next.
func (d *draw) steady(from, to, every time.Duration, s sort) {
	for at := from; ; {
		at += time.Duration(d.rng.ExpFloat64() * float64(every))
		if at >= to {
			return
		}
		d.add(at, s)
	}
}

// burst adds n pieces of work within a short time.
func (d *draw) burst(at, within time.Duration, n int, s sort) {
	for range n {
		d.add(at+d.between(0, within), s)
	}
}

// never adds work that no worker set can hold.
func (d *draw) never(n int, until time.Duration, s sort) {
	for range n {
		d.add(d.between(0, until), s)
		j := &d.jobs[len(d.jobs)-1]
		j.Group = "never"
		j.Work.Shape.MemoryMB = 64 * d.size.MemoryMB
	}
}

// failing adds work that fails wherever it runs.
func (d *draw) failing(n int, until time.Duration, s sort) {
	for range n {
		d.add(d.between(0, until), s)
		d.jobs[len(d.jobs)-1].Fails = true
	}
}

// cancelWave withdraws a share of the work that was handed in before.
func (d *draw) cancelWave(at time.Duration, share float64) {
	for i := range d.jobs {
		j := &d.jobs[i]
		if j.At < at && at-j.At < 20*time.Minute && j.CancelAfter == 0 && d.chance(share) {
			j.CancelAfter = at - j.At + d.between(0, time.Second)
		}
	}
}

// lose takes n workers away for a while.
func (d *draw) lose(f config.Fleet, n int, until, lasting time.Duration) []Loss {
	var out []Loss
	for range n {
		cl := f.Cells[d.rng.IntN(len(f.Cells))]
		w := cl.Workers[d.rng.IntN(len(cl.Workers))]
		out = append(out, Loss{Worker: w.ID, From: d.between(0, until), For: lasting})
	}
	return out
}

// done gives the work in the order of its arrival.
func (d *draw) done() []Job {
	slices.SortStableFunc(d.jobs, func(a, b Job) int { return int(a.At - b.At) })
	return d.jobs
}

func pick[T any](rng *rand.Rand, of []T) T { return of[rng.IntN(len(of))] }
