package experiment

import (
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"coltsfootmux/internal/core/placement"
	"coltsfootmux/internal/model"
)

const (
	// histMaxMillis is the longest time that the histograms hold.
	histMaxMillis = int64(48 * time.Hour / time.Millisecond)
	histDigits    = 3
	// slowdownFloor keeps very short work from ruling the slowdown.
	slowdownFloor = time.Second
	// slowdownScale is how finely slowdowns are kept.
	slowdownScale = 100
)

// measure gathers the figures of one run.
type measure struct {
	trace  *Trace
	policy string
	groups map[string]*group
	all    *group

	reclaim *hdrhistogram.Histogram
	urgent  *hdrhistogram.Histogram
	// freeTime and unservedTime are accelerator seconds, free and unable to
	// serve the reference shape.
	freeTime     float64
	unservedTime float64
	// restTime is what would be left over if all free accelerators were together.
	restTime float64
	lost     time.Duration
	alarms   map[placement.AlarmCode]int
	refusals map[model.Reason]int
	failures map[model.Reason]int

	waitingLarge []*live
	largeWait    time.Duration
	largeLate    int
	lastSubmit   time.Time
	asks         *asks
}

// group holds the figures of one group of work.
type group struct {
	done       int
	completion *hdrhistogram.Histogram
	slowdown   *hdrhistogram.Histogram
}

func newGroup() *group {
	return &group{
		completion: hdrhistogram.New(1, histMaxMillis, histDigits),
		slowdown:   hdrhistogram.New(1, histMaxMillis, histDigits),
	}
}

func newMeasure(t *Trace, policy string) *measure {
	m := &measure{
		trace: t, policy: policy, groups: make(map[string]*group), all: newGroup(),
		reclaim:  hdrhistogram.New(1, histMaxMillis, histDigits),
		urgent:   hdrhistogram.New(1, histMaxMillis, histDigits),
		alarms:   make(map[placement.AlarmCode]int),
		refusals: make(map[model.Reason]int),
		failures: make(map[model.Reason]int),
		asks:     newAsks(t.Doc),
	}
	for _, j := range t.Jobs {
		if at := start.Add(j.At); at.After(m.lastSubmit) {
			m.lastSubmit = at
		}
	}
	return m
}

// passed weighs the state of the fleet by the time it lasted, while work comes in.
func (m *measure) passed(from, to time.Time, c *placement.Core) {
	if to.After(m.lastSubmit) {
		to = m.lastSubmit
	}
	d := to.Sub(from)
	if d <= 0 {
		return
	}
	m.asks.passed(d)
	share, free := c.Fragmentation()
	m.freeTime += float64(free) * d.Seconds()
	m.unservedTime += share * float64(free) * d.Seconds()
	if ref := m.trace.Doc.Defaults.Reference.Accelerators; ref > 0 {
		m.restTime += float64(free%ref) * d.Seconds()
	}
}

func (m *measure) begun(l *live, b placement.Begin, now time.Time) {
	if b.Reclaimed > 0 {
		_ = m.reclaim.RecordValue(max(1, b.Reclaimed.Milliseconds()))
	}
	if !l.begun && l.large(m.trace) {
		m.largeWait = max(m.largeWait, now.Sub(l.submitted))
	}
	if !l.begun && l.job.Work.Class == model.ClassUrgent {
		_ = m.urgent.RecordValue(max(1, now.Sub(l.submitted).Milliseconds()))
	}
	m.left(l)
	m.asks.begun(l, len(b.Parts))
}

func (m *measure) submitted(l *live) {
	m.asks.waits(l)
	if l.large(m.trace) && !l.begun {
		m.waitingLarge = append(m.waitingLarge, l)
	}
}

// left notes that a job waits no more.
func (m *measure) left(l *live) {
	m.waitingLarge = slices.DeleteFunc(m.waitingLarge, func(o *live) bool { return o == l })
	m.asks.left(l)
}

// watch counts a large job as late once it was past its bound for as long as a
// reclaim may take while it would have fitted without borrowers.
func (m *measure) watch(l *live, now time.Time, c *placement.Core) {
	d := m.trace.Doc.Defaults
	if l.late || now.Sub(l.submitted) <= d.LargeWait.D() {
		return
	}
	if !c.Reclaimable(l.job.Work.Key) {
		l.overdue = time.Time{}
		return
	}
	if l.overdue.IsZero() {
		l.overdue = now
	}
	if now.Sub(l.overdue) > d.ReclaimWithin.D() {
		l.late = true

		m.largeLate++
	}
}

func (m *measure) completed(l *live, c placement.Complete, now time.Time) {
	m.left(l)
	if c.Failed {
		m.failures[c.Reason]++
		return
	}
	took := now.Sub(l.submitted)
	slow := float64(took) / float64(max(l.job.Run, slowdownFloor))
	for _, g := range []*group{m.all, m.group(l.job.Group)} {
		g.done++
		_ = g.completion.RecordValue(max(1, took.Milliseconds()))
		_ = g.slowdown.RecordValue(max(1, int64(slow*slowdownScale)))
	}
}

func (m *measure) group(name string) *group {
	g, ok := m.groups[name]
	if !ok {
		g = newGroup()
		m.groups[name] = g
	}
	return g
}

func (m *measure) refused(l *live, r placement.Refuse) {
	m.left(l)
	m.refusals[r.Reason]++
}

func (m *measure) alarm(a placement.Alarm) { m.alarms[a.Code]++ }

func (m *measure) ended(t *fakeTask, lost time.Duration) {
	size := max(1, t.part.Shape.Accelerators)
	m.lost += lost * time.Duration(size)
	m.asks.ended(t)
}
