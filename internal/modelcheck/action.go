package modelcheck

import "fmt"

// ActionKind says what happens in a transition.
type ActionKind uint8

// The actions of the key specification. Delayed messages arrive after the sender has
// stopped waiting; an unanswered call is executed, but its answer is lost.
const (
	Tick ActionKind = iota
	CreateKey
	Submit
	DelayedSubmit
	SendStart
	DeliverStart
	Fence
	FenceUnanswered
	List
	Hold
	HoldUnanswered
	DelayedHold
	StartUnanswered
	Resolve
	ResolveUnanswered
	DeliverAnswer
	RejectQueued
	Suspect
	ScanTimeout
	SendClaim
	AppendClaim
	ReadClaim
	CrashHost
	RestartWorker
)

var keyActionNames = [...]string{
	"tick", "create key", "submit", "delayed submit", "send start", "deliver start", "fence", "fence unanswered", "list",
	"hold", "hold unanswered", "delayed hold", "start unanswered", "resolve", "resolve unanswered", "deliver answer",
	"reject queued", "suspect", "scan timeout", "send claim", "append claim", "read claim", "crash host", "restart worker",
}

// Action is one transition: its kind, and the host, worker and epoch concerned. The
// Host of a Tick is a bit set of the hosts that are paused during it.
type Action struct {
	Kind   ActionKind
	Host   uint8
	Worker uint8
	Epoch  uint8
}

// String returns the action as shown in traces.
func (a Action) String() string {
	return fmt.Sprintf("%s h%d w%d e%d", a.Kind, a.Host, a.Worker, a.Epoch)
}

// String returns the name of the kind.
func (k ActionKind) String() string {
	switch {
	case int(k) < len(keyActionNames):
		return keyActionNames[k]
	case k >= GangTick && int(k-GangTick) < len(gangActionNames):
		return gangActionNames[k-GangTick]
	case k >= ConfigPublish && int(k-ConfigPublish) < len(configActionNames):
		return configActionNames[k-ConfigPublish]
	case k >= TermTick && int(k-TermTick) < len(termActionNames):
		return termActionNames[k-TermTick]
	}
	return "other"
}
