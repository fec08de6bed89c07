package load

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"coltsfootmux/internal/model"
)

const (
	minMicros         = 1
	maxMicros         = int64(10 * time.Minute / time.Microsecond)
	significantDigits = 3
)

// Tally counts the answers by kind. It is safe for concurrent use.
type Tally struct {
	mu      sync.Mutex
	rows    map[model.Kind]*Row
	answers []Answer
}

// Row holds the counts of one kind.
type Row struct {
	Kind    model.Kind
	Sent    int
	Done    int
	NotRun  int
	Unknown int
	Lost    int
	// Doubled and Untrue are counted by Check: non-idempotent requests that were
	// started more than once, and requests that were started although their outcome
	// is not_run.
	Doubled int
	Untrue  int
	hist    *hdrhistogram.Histogram
}

// NewTally returns an empty tally.
func NewTally() *Tally { return &Tally{rows: make(map[model.Kind]*Row)} }

// AddSent counts a request as sent.
func (t *Tally) AddSent(k model.Kind) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.row(k).Sent++
}

// AddAnswer counts an answer.
func (t *Tally) AddAnswer(a Answer) {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.row(a.Kind)
	t.answers = append(t.answers, a)
	switch {
	case a.Lost:
		r.Lost++
	case a.Outcome == model.OutcomeDone:
		r.Done++
		_ = r.hist.RecordValue(max(minMicros, a.Latency.Microseconds()))
	case a.Outcome == model.OutcomeNotRun:
		r.NotRun++
	default:
		r.Unknown++
	}
}

func (t *Tally) row(k model.Kind) *Row {
	r, ok := t.rows[k]
	if !ok {
		r = &Row{Kind: k, hist: hdrhistogram.New(minMicros, maxMicros, significantDigits)}
		t.rows[k] = r
	}
	return r
}

// Answers returns all answers so far.
func (t *Tally) Answers() []Answer {
	t.mu.Lock()
	defer t.mu.Unlock()
	return slices.Clone(t.answers)
}

// AnswerCount returns how many requests have an outcome or are lost.
func (t *Tally) AnswerCount() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.answers)
}

// Rows returns the counts, sorted by kind.
func (t *Tally) Rows() []Row {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := make([]Row, 0, len(t.rows))
	for _, r := range t.rows {
		out = append(out, *r)
	}
	slices.SortFunc(out, func(a, b Row) int { return cmp.Compare(a.Kind, b.Kind) })
	return out
}

// Reasons returns how often each reason was given for an outcome other than done,
// the most frequent first.
func (t *Tally) Reasons() []ReasonCount {
	t.mu.Lock()
	defer t.mu.Unlock()
	counts := make(map[ReasonCount]int)
	for _, a := range t.answers {
		if a.Outcome != model.OutcomeDone {
			counts[ReasonCount{Outcome: a.Outcome, Reason: a.Reason}]++
		}
	}
	out := make([]ReasonCount, 0, len(counts))
	for r, n := range counts {
		r.Count = n
		out = append(out, r)
	}
	slices.SortFunc(out, func(a, b ReasonCount) int {
		return cmp.Or(cmp.Compare(b.Count, a.Count), cmp.Compare(a.Reason, b.Reason), cmp.Compare(a.Outcome, b.Outcome))
	})
	return out
}

// Total returns the sums over all kinds.
func (t *Tally) Total() Row {
	sum := Row{Kind: "all", hist: hdrhistogram.New(minMicros, maxMicros, significantDigits)}
	for _, r := range t.Rows() {
		sum.Sent += r.Sent
		sum.Done += r.Done
		sum.NotRun += r.NotRun
		sum.Unknown += r.Unknown
		sum.Lost += r.Lost
		sum.Doubled += r.Doubled
		sum.Untrue += r.Untrue
		sum.hist.Merge(r.hist)
	}
	return sum
}

// Quantile returns the q-th percentile (0 to 100) of the latency of requests that
// are done.
func (r Row) Quantile(q float64) time.Duration {
	return time.Duration(r.hist.ValueAtQuantile(q)) * time.Microsecond
}
