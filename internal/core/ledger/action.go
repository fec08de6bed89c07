package ledger

import "coltsfootmux/internal/model"

// Action is what a Core asks its shell to do.
type Action interface{ action() }

// Dispatch hands an attempt to placement. GroupEpoch is the epoch at that moment;
// starts carry the one that the ownership core's MayStart gives right before them.
type Dispatch struct {
	Work       model.Work
	Group      model.GroupID
	GroupEpoch model.Epoch
	Attempt    int
}

// Reply answers one waiter.
type Reply struct {
	Waiter Waiter
	Result model.Result
}

// Moved tells one waiter that nothing was decided here: the key's group belongs
// to another scheduler, which is to be asked.
type Moved struct {
	Waiter Waiter
	// Epoch is set when the group is ours, under another epoch than the offer's.
	Epoch model.Epoch
}

// AnswerCancel answers a Cancelled. Done says that nothing of the work starts
// from now on and that it did not run.
type AnswerCancel struct {
	Waiter Waiter
	Done   bool
	Reason model.Reason
	Moved  bool
}

// Ask settles the fate of an attempt at one worker: the lease is barred if
// unstarted. The shell answers with Settled.
type Ask struct {
	Key     model.Key
	Attempt int
	Group   model.GroupID
	Epoch   model.Epoch
	Trace   Trace
}

// Record writes an outcome to the log, behind the answer.
type Record struct{ Recorded Recorded }

// Withdraw takes waiting work out of placement, or stops running work.
type Withdraw struct{ Key model.Key }

func (Dispatch) action()     {}
func (Reply) action()        {}
func (Moved) action()        {}
func (AnswerCancel) action() {}
func (Ask) action()          {}
func (Record) action()       {}
func (Withdraw) action()     {}
