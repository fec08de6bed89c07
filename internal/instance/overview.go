package instance

import "coltsfootmux/internal/overview"

// Overview returns what operators are shown of this instance.
func (i *Instance) Overview() overview.Instance {
	t := i.latestTermRecord()
	out := overview.Instance{
		Name: i.Settings.Name, Incarnation: i.Settings.Incarnation, Ready: i.Ready(), StoreReachable: i.storeMonitor.reachable(),
		PolicyVersion: i.policyInForce(), PolicyAgeMS: i.policyAge().Milliseconds(),
		DrainedDataCentres: i.drainedDataCentres(),
		Term:               t.Term, Owner: t.Owner, OwnerAddr: t.Addr,
	}
	o := i.owner.Load()
	if o == nil {
		return out
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.core != nil {
		out.Cell = o.core.Overview()
	}
	return out
}
