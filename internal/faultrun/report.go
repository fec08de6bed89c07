package faultrun

import (
	"slices"
	"time"

	"coltsfootmux/internal/model"
)

// Report counts what callers were told against what ran.
type Report struct {
	Requests int
	Done     int
	NotRun   int
	Unknown  int
	// Lost counts requests that got no answer at all.
	Lost int
	// Doubled counts non-idempotent keys that ran more than once.
	Doubled int
	// Untrue counts keys told not_run that ran, and keys told done that did not.
	Untrue int
	// Crossed counts keys whose callers got different answers.
	Crossed int
	// Reasons counts the reasons of not_run and unknown.
	Reasons map[model.Reason]int
	// Slowest is the longest time from a request to its answer.
	Slowest time.Duration
}

// Report counts up to now.
func (s *Sim) Report() Report {
	rep := Report{Reasons: make(map[model.Reason]int)}
	ran := s.runsByKey()
	answers := make(map[model.Key]string)
	for _, r := range s.requests {
		rep.Requests++
		if r.result == nil {
			rep.Lost++
			continue
		}
		rep.count(r, ran[r.work.Key], answers)
	}
	seen := make(map[model.Key]bool)
	for _, r := range s.requests {
		k := r.work.Key
		if !r.work.Idempotent && !seen[k] && ran[k] > 1 {
			rep.Doubled++
		}
		seen[k] = true
	}
	return rep
}

func (rep *Report) count(r *request, runs int, answers map[model.Key]string) {
	rep.Slowest = max(rep.Slowest, r.ended.Sub(r.made))
	switch r.result.Outcome {
	case model.OutcomeDone:
		rep.Done++
		if runs == 0 {
			rep.Untrue++
		}
		a := string(r.result.Answer)
		if old, ok := answers[r.work.Key]; ok && old != a {
			rep.Crossed++
		}
		answers[r.work.Key] = a
		return
	case model.OutcomeNotRun:
		rep.NotRun++
		if runs > 0 {
			rep.Untrue++
		}
	default:
		rep.Unknown++
	}
	rep.Reasons[r.result.Reason]++
}

func (s *Sim) runsByKey() map[model.Key]int {
	out := make(map[model.Key]int)
	for _, m := range s.machines {
		for _, r := range m.w.Runs() {
			out[r.Key]++
		}
	}
	return out
}

// Takeovers gives, for each group that a killed host owned, the time from its
// death to the next gain by another, sorted.
func (s *Sim) takeovers(owned []model.Scope, from time.Time) []time.Duration {
	var out []time.Duration
	for _, sc := range owned {
		for _, g := range s.gains {
			if g.scope == sc && g.at.After(from) {
				out = append(out, g.at.Sub(from))
				break
			}
		}
	}
	slices.Sort(out)
	return out
}

// owned lists the scopes that a host decides for.
func (h *host) owned() (out []model.Scope) {
	for _, t := range h.sim.targets {
		if _, ok := h.own.Owned(t.Scope); ok {
			out = append(out, t.Scope)
		}
	}
	return out
}
