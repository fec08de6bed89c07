package instance

import (
	"context"
	"errors"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"coltsfootmux/internal/core/cell"
	"coltsfootmux/internal/core/term"
	"coltsfootmux/internal/external"
)

func (i *Instance) followTerm(ctx context.Context) {
	r := &topicReader{
		log: i.store, topic: topicTerm, minInterval: i.termPace(),
		onSnapshot: i.termRecords, onPage: i.termRecords,
		onError: func(error) { i.stepTerm(term.StoreFailed{}) },
	}
	r.run(ctx, -1)
}

// weakTermPace is the least time between two reads of the term at an instance
// that claims later than others; it need not see each renewal.
const weakTermPace = time.Second

func (i *Instance) termPace() time.Duration {
	if i.Settings.Term.Delay > 0 {
		return weakTermPace
	}
	return 0
}

func (i *Instance) termRecords(p external.Page) {
	ev := term.Observed{End: p.Next}
	for _, r := range p.Records {
		if r.Key != keyTerm || len(r.Value) == 0 {
			continue
		}
		var rec term.Record
		if err := decodeRecord(r.Value, &rec); err != nil {
			evRecordBad.Log(i.work, i.logger, slog.String("topic", string(topicTerm)), slog.Any("error", err))
			continue
		}
		ev.Records = append(ev.Records, rec)
	}
	i.stepTerm(ev)
}

// currentTerm gives the newest term record that is known.
func (i *Instance) currentTerm() (term.Record, bool) {
	i.termMu.Lock()
	defer i.termMu.Unlock()
	return i.term.Owner()
}

// newestTerm gives the newest term record that is known, also one given up.
func (i *Instance) newestTerm() term.Record {
	i.termMu.Lock()
	defer i.termMu.Unlock()
	return i.term.Newest()
}

// stepTerm passes an event to the term's core and carries its actions out.
func (i *Instance) stepTerm(ev term.Event) {
	i.termMu.Lock()
	before, _ := i.term.Owner()
	actions := i.term.Step(boottime(), ev)
	after, _ := i.term.Owner()
	for _, a := range actions {
		i.doTerm(a)
	}
	i.termMu.Unlock()
	if before.Term != after.Term || before.Owner != after.Owner {
		evTermSeen.Log(i.work, i.logger, slog.Int64("term", after.Term), slog.String("owner", after.Owner), slog.String("addr", after.Addr))
	}
}

// doTerm carries one action out; gaining and losing happen in the order of the
// core's actions.
func (i *Instance) doTerm(a term.Action) {
	switch a := a.(type) {
	case term.Write:
		i.goRun(func(ctx context.Context) { i.writeTerm(ctx, a) })
	case term.Gained:
		evTermGained.Log(i.work, i.logger, slog.Int64("term", a.Term))
		o := newOwner(i, a.Term)
		i.owner.Store(o)
		i.goRun(o.run)
	case term.Lost:
		evTermLost.Log(i.work, i.logger, slog.Int64("term", a.Term), slog.String("reason", string(a.Reason)))
		if o := i.owner.Swap(nil); o != nil {
			o.end()
		}
	case term.Proven:
		if o := i.owner.Load(); o != nil {
			i.goRun(func(context.Context) { o.step(cell.TermConfirmed{At: a.At}) })
		}
	case term.AskYield:
		i.goRun(func(ctx context.Context) { i.askYield(ctx, a) })
	case term.Tell:
		i.goRun(func(ctx context.Context) { i.tellTerm(ctx, a.Record) })
	case term.AskPeers:
		i.goRun(i.askPeersForStore)
	}
}

func (i *Instance) writeTerm(ctx context.Context, a term.Write) {
	w := term.Written{Record: a.Record, Sent: boottime()}
	value, err := encode(a.Record)
	if err != nil {
		evTermWrite.Log(ctx, i.logger, slog.Any("error", err))
		w.Result = term.WriteFailed
		i.stepTerm(w)
		return
	}
	at := a.At
	w.End, err = i.log.Append(ctx, external.Append{
		Topic: topicTerm, ExpectedEnd: &at, Records: []external.Record{{Key: keyTerm, Value: value}},
	})
	w.Result = resultOf(err)
	if err != nil {
		evTermWrite.Log(ctx, i.logger, slog.Int64("term", a.Record.Term), slog.Int64("renewal", a.Record.Renewal), slog.Any("error", err))
	}
	i.stepTerm(w)
}

// resultOf turns an append's error into a result.
func resultOf(err error) term.Result {
	var moved *external.ConflictError
	switch {
	case err == nil:
		return term.WriteDone
	case errors.As(err, &moved):
		return term.WriteMoved
	case errors.Is(err, external.ErrNotExecuted):
		return term.WriteFailed
	default:
		return term.WriteUnclear
	}
}

// askPeersForStore tells the term's core if no peer that answers is served by
// the store, and at least one answers; or if some are and this instance is not.
func (i *Instance) askPeersForStore(ctx context.Context) {
	var asked, served atomic.Int64
	var own atomic.Bool
	var wg sync.WaitGroup
	wg.Go(func() { own.Store(i.store.probe(ctx, topicTerm, probeTimeout)) })
	for _, addr := range i.peers() {
		wg.Go(func() {
			r, err := i.askPolicy(ctx, addr, true)
			if err != nil {
				return
			}
			asked.Add(1)
			if r.TermTopicAvailable {
				served.Add(1)
			}
		})
	}
	wg.Wait()
	evPeersAsked.Log(ctx, i.logger, slog.Int64("answered", asked.Load()), slog.Int64("served", served.Load()), slog.Bool("self", own.Load()))
	switch {
	case asked.Load() > 0 && served.Load() == 0:
		i.stepTerm(term.PeersAgree{})
	case served.Load() > 0 && !own.Load():
		i.stepTerm(term.PeersServed{})
	}
}
