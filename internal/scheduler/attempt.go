package scheduler

import (
	"context"

	"coltsfootmux/internal/core/ledger"
	"coltsfootmux/internal/core/placement"
	"coltsfootmux/internal/model"
	"coltsfootmux/internal/platform"
	"coltsfootmux/internal/wire"
)

// attempt is one attempt at a piece of work that placement here has in hand.
type attempt struct {
	work       model.Work
	group      model.GroupID
	groupEpoch model.Epoch
	// number is the ledger's number for the attempt, of this scheduler or of from.
	number int
	parts  []placement.Part
	ended  map[model.LeaseID]platform.Ending
	// remote, when set, waits for the outcome on behalf of another scheduler, which
	// is reached at from. Otherwise the ledger here does.
	remote chan wire.PlaceReply
	from   model.Member
	// refused is why from does not let the attempt start.
	refused model.Reason
	// tried are the owners that the attempt was handed to.
	tried []model.HostID
	// cancel ends the waits for the attempt's tasks.
	cancel context.CancelFunc
	// withdrawn says that the ledger gave the attempt up while it was starting.
	withdrawn bool
	// next is the key's next attempt, handed out once placement is done with this one.
	next *ledger.Dispatch
}

// owns reports whether a lease belongs to the attempt.
func (a *attempt) owns(id model.LeaseID) bool {
	for _, p := range a.parts {
		if p.Lease == id {
			return true
		}
	}
	return false
}

// traces tells where the attempt's members are or may be found.
func (a *attempt) traces() []wire.MemberPlacement {
	out := make([]wire.MemberPlacement, len(a.parts))
	for i, p := range a.parts {
		out[i] = wire.MemberPlacement{Worker: p.Worker, Cell: p.Cell, Lease: p.Lease}
	}
	return out
}

// result makes the caller's answer from the endings of all members.
func (a *attempt) result(failed bool, reason model.Reason) model.Result {
	r := model.Result{Key: a.work.Key, Outcome: model.OutcomeDone, Reason: reason, Failed: failed}
	if reason == "" {
		r.Reason = model.ReasonOK
		if failed {
			r.Reason = model.ReasonTaskFailed
		}
	}
	r.Answer = joinAnswers(a.parts, a.ended)
	return r
}

// whole reports whether every member's ending is at hand.
func (a *attempt) whole() bool { return len(a.parts) > 0 && len(a.ended) >= len(a.parts) }

// local reports whether placement here has the attempt.
func (a *attempt) local() bool { return a.remote != nil || a.from.Addr == "" }
