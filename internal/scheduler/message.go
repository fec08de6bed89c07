package scheduler

import (
	"coltsfootmux/internal/config"
	"coltsfootmux/internal/core/ledger"
	"coltsfootmux/internal/core/ownership"
	"coltsfootmux/internal/core/placement"
	"coltsfootmux/internal/model"
	"coltsfootmux/internal/platform"
	"coltsfootmux/internal/wire"
)

// message is what other goroutines tell the loop.
type message interface{ message() }

// ownMsg, ledgerMsg and placeMsg carry an event to a core.
type (
	ownMsg    struct{ ev ownership.Event }
	ledgerMsg struct{ ev ledger.Event }
	placeMsg  struct{ ev placement.Event }
)

// configMsg brings a new configuration.
type configMsg struct{ conf *config.Versioned }

// submitMsg is a caller's request; the answer goes to reply, which has room for it.
type submitMsg struct {
	submit wire.Submit
	reply  chan wire.SubmitReply
}

// goneMsg says that the caller behind a reply channel no longer waits.
type goneMsg struct{ reply chan wire.SubmitReply }

// recordedMsg says how the appending of a job's record went.
type recordedMsg struct {
	submit wire.Submit
	reply  chan wire.SubmitReply
	err    error
}

// cancelMsg is a caller's cancel.
type cancelMsg struct {
	cancel wire.Cancel
	reply  chan wire.CancelReply
}

// statusMsg asks where work stands.
type statusMsg struct {
	query wire.StatusQuery
	reply chan wire.StatusReply
}

// overviewMsg asks for what this scheduler owns.
type overviewMsg struct{ reply chan wire.Overview }

// placeReqMsg asks to place work for another scheduler's key group.
type placeReqMsg struct {
	place wire.Place
	reply chan wire.PlaceReply
}

// withdrawMsg asks to give up work placed for another scheduler.
type withdrawMsg struct{ withdraw wire.Withdraw }

// begunMsg announces where another scheduler is about to start our attempt.
type begunMsg struct {
	begun wire.AttemptStart
	reply chan wire.Ack
}

// beginDoneMsg says how a two-phase start went.
type beginDoneMsg struct {
	key     model.Key
	attempt int
	outcome beginOutcome
	worker  model.WorkerID
	fault   bool
	// refused is why a beginRefused was.
	refused model.Reason
}

// placedMsg is the answer to a Place that we sent.
type placedMsg struct {
	key     model.Key
	attempt int
	reply   wire.PlaceReply
	err     error
}

// endedMsg is a task's ending, from a wait or from a renewal.
type endedMsg struct {
	worker model.WorkerID
	ending platform.Ending
}

// historyMsg brings what the log knows of a gained group.
type historyMsg struct {
	group model.GroupID
	epoch model.Epoch
	hist  history
}

// drainMsg asks to hand everything over; reply hears when that is under way.
type drainMsg struct{ reply chan struct{} }

func (ownMsg) message()       {}
func (ledgerMsg) message()    {}
func (placeMsg) message()     {}
func (configMsg) message()    {}
func (submitMsg) message()    {}
func (goneMsg) message()      {}
func (recordedMsg) message()  {}
func (cancelMsg) message()    {}
func (statusMsg) message()    {}
func (overviewMsg) message()  {}
func (placeReqMsg) message()  {}
func (withdrawMsg) message()  {}
func (begunMsg) message()     {}
func (beginDoneMsg) message() {}
func (placedMsg) message()    {}
func (endedMsg) message()     {}
func (historyMsg) message()   {}
func (drainMsg) message()     {}
