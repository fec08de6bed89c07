package interference

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"
)

// world generates the runs of one victim's steps on workers on which other profiles come
// and go. Presence depends on the worker, its rack and the time, as it does in a pool.
type world struct {
	seed    uint64
	rng     *rand.Rand
	now     time.Duration
	workers []*site
	// slowdowns holds the true slowdown by each neighbour; 1 if missing.
	slowdowns map[string]float64
	// speedsKnown says that samples have the time factors of the workers.
	speedsKnown bool
	// tasks is the number of tasks of a step.
	tasks int
	runs  int
}

// site is a worker of the world.
type site struct {
	name   string
	number int
	factor float64
	// shares holds the shares of time during which neighbours are there, when it is
	// neither busy nor quiet.
	shares map[string]float64
}

// slotTime is the time between two changes of a worker's neighbours.
const slotTime = 5 * time.Second

// newWorld returns a world in which every second worker takes factor times as long. The
// neighbours n0, n1 and n2 are mostly on slow workers, mostly in the first rack, and
// anywhere.
func newWorld(seed uint64, workers int, factor float64) *world {
	w := &world{seed: seed, rng: rand.New(rand.NewPCG(seed, 5)), slowdowns: make(map[string]float64), tasks: 12}
	for n := range workers {
		s := &site{name: fmt.Sprintf("w%d", n), number: n, factor: 1, shares: map[string]float64{"n0": 0.25, "n1": 0.25, "n2": 0.45}}
		if n%2 == 1 {
			s.factor = factor
			s.shares["n0"] = 0.75
		}
		if n < 4 {
			s.shares["n1"] = 0.75
		}
		w.workers = append(w.workers, s)
	}
	return w
}

// present reports whether a neighbour is on a worker. It is a function of the slot of time,
// so that runs at the same time see the same.
func (w *world) present(s *site, neighbour string, at time.Duration) bool {
	slot := uint64(at / slotTime)
	busy := 0.2 * math.Sin(at.Seconds()/4)
	seed := rand.NewPCG(slot*97+uint64(s.number), w.seed*8+uint64(neighbour[1]))
	return float64(seed.Uint64()>>11)/(1<<53) < s.shares[neighbour]+busy
}

// step lets the tasks of one step run, in one wave, and returns their runs.
func (w *world) step() []Run {
	var out []Run
	base := 1 + 2*w.rng.Float64()
	for range w.tasks {
		start := w.now + time.Duration(w.rng.IntN(300))*time.Millisecond
		out = append(out, w.run(w.workers[w.rng.IntN(len(w.workers))], start, base*math.Exp(0.3*w.rng.NormFloat64())))
	}
	w.runs += len(out)
	w.now += 3 * time.Second
	return out
}

// run carries out the given seconds of work.
func (w *world) run(s *site, start time.Duration, work float64) Run {
	const tick = 50 * time.Millisecond
	there := make(map[string]float64)
	at, ticks := start, 0.0
	for ; work > 0; at += tick {
		rate := 1 / s.factor
		for _, n := range []string{"n0", "n1", "n2"} {
			if !w.present(s, n, at) {
				continue
			}
			there[n]++
			if by := w.slowdowns[n]; by > 1 {
				rate /= by
			}
		}
		work -= rate * tick.Seconds()
		ticks++
	}
	r := Run{Worker: s.name, Start: start, End: at, TimeFactor: 1, Present: make(Exposures)}
	if w.speedsKnown {
		r.TimeFactor = s.factor
	}
	for n, t := range there {
		r.Present[n] = t / ticks
	}
	return r
}

// play feeds steps to the model until it has seen the given number of runs, and returns
// the changes.
func (w *world) play(m *Model, runs int) []Change {
	var out []Change
	for end := w.runs + runs; w.runs < end; {
		for _, s := range Samples(fmt.Sprint(w.runs), w.step()) {
			m.Observe("v", s)
		}
		out = append(out, m.Judge(w.now)...)
	}
	return out
}
