package instance

import (
	"log/slog"

	"coltsfootmux/internal/core/cell"
	"coltsfootmux/internal/core/drain"
	"coltsfootmux/internal/external"
)

// decodeDrain decodes a record of the policy's topic; ok is false if it is not about a
// drain.
func (i *Instance) decodeDrain(r external.Record) (d drain.Record, ok bool) {
	if i.DecodeDrain == nil {
		return d, false
	}
	dataCentre, drained, ok := i.DecodeDrain(r)
	return drain.Record{DataCentre: dataCentre, Offset: r.Offset, Drained: drained}, ok
}

// applyDrainSnapshot applies the newest records of the policy's topic.
func (i *Instance) applyDrainSnapshot(p external.Page) {
	var records []drain.Record
	for _, r := range p.Records {
		if d, ok := i.decodeDrain(r); ok {
			records = append(records, d)
		}
	}
	i.drainMu.Lock()
	defer i.drainMu.Unlock()
	i.drainsChanged(i.drains.ApplySnapshot(records, p.End), "store")
}

// applyDrains applies records from the store or from a peer.
func (i *Instance) applyDrains(records []drain.Record, from string) {
	i.drainMu.Lock()
	defer i.drainMu.Unlock()
	var changed []drain.Record
	for _, r := range records {
		if i.drains.Apply(r) {
			changed = append(changed, r)
		}
	}
	i.drainsChanged(changed, from)
}

// drainsChanged logs changes and passes them to the owned cell. The caller holds
// drainMu, so that the cell gets them in order.
func (i *Instance) drainsChanged(changed []drain.Record, from string) {
	for _, r := range changed {
		evDrainChanged.Log(i.ctx, i.logger, slog.String("data_centre", r.DataCentre), slog.Bool("drained", r.Drained),
			slog.Int64("offset", r.Offset), slog.String("from", from))
	}
	if o := i.owner.Load(); o != nil && len(changed) > 0 {
		o.step(cell.DrainsChanged{DataCentres: i.drains.Drained()})
	}
}

// passDrains passes all drains to a cell that has just been taken over.
func (i *Instance) passDrains(o *owner) {
	i.drainMu.Lock()
	defer i.drainMu.Unlock()
	o.step(cell.DrainsChanged{DataCentres: i.drains.Drained()})
}

func (i *Instance) drainRecords() []drain.Record {
	i.drainMu.Lock()
	defer i.drainMu.Unlock()
	return i.drains.Records()
}

func (i *Instance) drainedDataCentres() []string {
	i.drainMu.Lock()
	defer i.drainMu.Unlock()
	return i.drains.Drained()
}
