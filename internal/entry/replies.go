package entry

import (
	"coltsfootmux/internal/model"
	"coltsfootmux/internal/wire"
)

// submitReply, cancelReply and statusReply are the replies of schedulers as the
// routing sees them.
type (
	submitReply wire.SubmitReply
	cancelReply wire.CancelReply
	statusReply wire.StatusReply
)

// moved also holds for a scheduler that owns the group and may not decide now:
// it did nothing and another may.
func (r submitReply) moved() (bool, model.Member) {
	if r.Moved {
		return true, r.Owner
	}
	return r.Result.Outcome == model.OutcomeNotRun && passing(r.Result.Reason), r.Owner
}

func (r cancelReply) moved() (bool, model.Member) {
	return r.Moved || !r.Cancelled && passing(r.Reason), r.Owner
}

func (r statusReply) moved() (bool, model.Member) { return r.Moved, r.Owner }

func (r submitReply) epoch() model.Epoch { return r.Epoch }
func (r cancelReply) epoch() model.Epoch { return 0 }
func (r statusReply) epoch() model.Epoch { return 0 }

// passing reports whether the reason lies with the scheduler that was asked.
func passing(r model.Reason) bool {
	return r == model.ReasonDraining || r == model.ReasonNoOwner
}
