package entry

import (
	"coltsfootmux/internal/model"
	"coltsfootmux/internal/wire"
)

// submitReply, cancelReply and statusReply implement ownerReply.
type (
	submitReply wire.SubmitReply
	cancelReply wire.CancelReply
	statusReply wire.StatusReply
)

// moved is also true if the scheduler owns the group but can't decide now: it did
// nothing, and another scheduler may accept the work.
func (r submitReply) moved() (bool, model.Member) {
	if r.Moved {
		return true, r.Owner
	}
	return r.Result.Outcome == model.OutcomeNotRun && otherMayAccept(r.Result.Reason), r.Owner
}

func (r cancelReply) moved() (bool, model.Member) {
	return r.Moved || !r.Cancelled && otherMayAccept(r.Reason), r.Owner
}

func (r statusReply) moved() (bool, model.Member) { return r.Moved, r.Owner }

func (r submitReply) epoch() model.Epoch { return r.Epoch }
func (r cancelReply) epoch() model.Epoch { return 0 }
func (r statusReply) epoch() model.Epoch { return 0 }

// otherMayAccept reports whether the reason is the state of the scheduler that was
// called, so that another one may accept the same call.
func otherMayAccept(r model.Reason) bool {
	return r == model.ReasonDraining || r == model.ReasonNoOwner
}
