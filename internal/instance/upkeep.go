package instance

import (
	"context"
	"errors"
	"log/slog"
	"time"

	"coltsfootmux/internal/core/upkeep"
	"coltsfootmux/internal/external"
)

const (
	// upkeepInterval is how often waves are checked.
	upkeepInterval = 200 * time.Millisecond
	// upkeepOrderTimeout bounds an order to a machine.
	upkeepOrderTimeout = 2 * time.Second
)

// addWave adds a wave that operators asked for.
func (i *Instance) addWave(r external.Record) {
	w, ok, err := i.DecodeWave(r)
	switch {
	case !ok:
		return
	case err != nil:
		evRecordInvalid.Log(i.ctx, i.logger, slog.String("key", r.Key), slog.Any("error", err))
		return
	}
	i.waveMu.Lock()
	defer i.waveMu.Unlock()
	if i.waves == nil {
		i.waves = make(map[int64]upkeep.Wave)
	}
	if _, known := i.waves[w.Number]; !known {
		evWaveReceived.Log(i.ctx, i.logger, slog.Int64("wave", w.Number), slog.Int("machines", len(w.Machines)),
			slog.Duration("over", w.Duration), slog.Int("cap", w.MaxDown))
	}
	i.waves[w.Number] = w
}

func (i *Instance) knownWaves() []upkeep.Wave {
	i.waveMu.Lock()
	defer i.waveMu.Unlock()
	var out []upkeep.Wave
	for _, w := range i.waves {
		out = append(out, w)
	}
	return out
}

// runUpkeep runs the waves while the term is owned. A new owner orders the upkeep of every
// machine of a wave again; the platform answers for those that have had it.
func (o *owner) runUpkeep() {
	if o.inst.UpkeepService == nil {
		return
	}
	core := upkeep.New(boottime(), o.inst.Settings.UpkeepDuration)
	results := make(chan func())
	t := time.NewTicker(upkeepInterval)
	defer t.Stop()
	for {
		select {
		case <-o.ctx.Done():
			return
		case applyResult := <-results:
			applyResult()
			continue
		case <-t.C:
		}
		for _, w := range o.inst.knownWaves() {
			core.Add(boottime(), w)
		}
		if !core.HasOpenWaves() || !o.mayStart() {
			continue
		}
		now := instant()
		for _, a := range core.Step(now.Mono, now.UnixMS, o.machines()) {
			o.performUpkeepAction(core, a, results)
		}
	}
}

func (o *owner) machines() []upkeep.Machine {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.core == nil {
		return nil
	}
	return o.core.Machines()
}

func (o *owner) performUpkeepAction(core *upkeep.Core, a upkeep.Action, results chan<- func()) {
	switch a := a.(type) {
	case upkeep.Order:
		o.inst.spawn(func(context.Context) {
			r := o.orderUpkeep(a)
			select {
			case results <- func() { core.Answered(boottime(), a, r) }:
			case <-o.ctx.Done():
			}
		})
	case upkeep.Report:
		o.inst.spawn(func(context.Context) { o.reportWave(a) })
	}
}

func (o *owner) orderUpkeep(a upkeep.Order) upkeep.Result {
	r, err := o.sendUpkeep(a)
	evUpkeep.Log(o.ctx, o.inst.logger, slog.String("machine", a.Machine), slog.Int64("wave", a.Wave),
		slog.Int("result", int(r)), slog.Any("error", err))
	switch {
	case errors.Is(err, external.ErrFenced):
		o.giveUpTerm()
		return upkeep.Busy
	case errors.Is(err, external.ErrNotExecuted):
		return upkeep.Busy
	case err != nil:
		return upkeep.OutcomeUnknown
	case r == external.UpkeepBegun:
		return upkeep.Begun
	case r == external.UpkeepNotFound:
		return upkeep.NotFound
	default:
		return upkeep.Busy
	}
}

// sendUpkeep sends an order unless the term has not been confirmed for too long. The platform
// compares the tokens of one machine only, so that it would carry out the orders of two owners for
// different ones. Errors: those of external.UpkeepService.
func (o *owner) sendUpkeep(a upkeep.Order) (external.UpkeepResult, error) {
	ctx, cancel := context.WithTimeout(o.ctx, upkeepOrderTimeout)
	defer cancel()
	if !o.mayStart() {
		return external.UpkeepBusy, errTermTooOld
	}
	return o.inst.UpkeepService.Upkeep(ctx, external.UpkeepOrder{
		Machine: a.Machine, Wave: a.Wave, Holder: o.inst.Settings.Name, FencingToken: o.term,
	})
}

// reportWave writes the status of a wave for operators. It retries until the store has it or
// the term ends.
func (o *owner) reportWave(r upkeep.Report) {
	rec, err := o.inst.EncodeWave(r)
	if err != nil {
		evUpkeep.Log(o.ctx, o.inst.logger, slog.Int64("wave", r.Wave), slog.Any("error", err))
		return
	}
	for o.ctx.Err() == nil {
		_, err := o.inst.store.Append(o.ctx, external.Append{Topic: o.inst.WaveStatusTopic, Records: []external.Record{rec}})
		if err == nil {
			evWaveReported.Log(o.ctx, o.inst.logger, slog.Int64("wave", r.Wave), slog.Bool("complete", r.Complete))
			return
		}
		evWaveReportFailed.Log(o.ctx, o.inst.logger, slog.Int64("wave", r.Wave), slog.Any("error", err))
		if errors.Is(err, external.ErrInvalidRequest) {
			return // a repeat would be refused as well
		}
		sleep(o.ctx, persistRetryDelay)
	}
}
