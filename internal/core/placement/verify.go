package placement

import "github.com/rotisserie/eris"

// The promises that Verify checks.
var (
	// ErrOvercommitted means that more is held on a worker than it has, other
	// than by work that waits for victims to leave.
	ErrOvercommitted = eris.New("worker overcommitted")
	// ErrGuarantee means that a guaranteed shape would not fit if all borrowers left.
	ErrGuarantee = eris.New("guarantee not reclaimable")
	// ErrBooks means that the sums kept do not match the tasks.
	ErrBooks = eris.New("books do not add up")
)

// Verify checks, from the tasks alone, that no worker is overcommitted and that
// every entitled shape fits once borrowers are evicted. It is meant for tests.
func (c *Core) Verify() error {
	for _, cl := range c.order {
		for _, w := range cl.workers {
			if err := c.verifyWorker(w); err != nil {
				return err
			}
		}
	}
	return nil
}

func (c *Core) verifyWorker(w *worker) error {
	held := w.capacity.Sub(w.capacity)
	here := w.capacity.Sub(w.capacity)
	firm := make(map[*account]stake)
	for _, t := range w.tasks {
		held = held.Add(t.shape)
		if t.job.state != jobReclaiming {
			here = here.Add(t.shape)
		}
		s := firm[t.job.acc]
		s.all = s.all.Add(t.shape)
		if t.firm {
			s.firm = s.firm.Add(t.shape)
		}
		firm[t.job.acc] = s
	}
	if w.capacity.Sub(held) != w.free {
		return eris.Wrapf(ErrBooks, "%s: free is %+v, tasks hold %+v", w.id, w.free, held)
	}
	if !here.Fits(w.capacity) {
		return eris.Wrapf(ErrOvercommitted, "%s: %+v held", w.id, here)
	}
	for _, u := range w.cell.units {
		if u.at == w {
			s := firm[u.acc]
			s.ent = s.ent.Add(u.shape)
			firm[u.acc] = s
		}
	}
	sum := w.capacity.Sub(w.capacity)
	for _, s := range firm {
		sum = sum.Add(s.bound())
	}
	if sum != w.committed {
		return eris.Wrapf(ErrBooks, "%s: committed is %+v, not %+v", w.id, w.committed, sum)
	}
	if c.policy.Guarantee && !sum.Fits(w.capacity) {
		return eris.Wrapf(ErrGuarantee, "%s: %+v can't be taken back", w.id, sum)
	}
	return nil
}
