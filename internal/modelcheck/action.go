package modelcheck

import "fmt"

// ActionKind is what happens in a step.
type ActionKind uint8

// The verbs of the key specification.
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

var verbNames = [...]string{
	"tick", "make", "offer", "late offer", "begin", "deliver", "fence", "fence unanswered", "list",
	"hold", "hold unanswered", "late hold", "doubt", "ask", "ask unanswered", "answer",
	"give up", "suspect", "time out", "append", "land", "read", "crash host", "restart worker",
}

// Action is one step: a verb with the host, worker and epoch that it is about.
// A Tick's Host is the set of hosts that are paused over it, as bits.
type Action struct {
	Kind   ActionKind
	Host   uint8
	Worker uint8
	Epoch  uint8
}

// String gives the action for traces.
func (a Action) String() string {
	return fmt.Sprintf("%s h%d w%d e%d", a.Kind, a.Host, a.Worker, a.Epoch)
}

// String names the verb.
func (v ActionKind) String() string {
	switch {
	case int(v) < len(verbNames):
		return verbNames[v]
	case v >= ConfigPublish && int(v-ConfigPublish) < len(configVerbNames):
		return configVerbNames[v-ConfigPublish]
	case v >= TermTick && int(v-TermTick) < len(termVerbNames):
		return termVerbNames[v-TermTick]
	}
	return "other"
}
