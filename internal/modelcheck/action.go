package modelcheck

import "fmt"

// Verb is what happens in a step.
type Verb uint8

// The verbs of the key specification.
const (
	Tick Verb = iota
	Make
	Offer
	LateOffer
	Begin
	Deliver
	Fence
	FenceUnanswered
	List
	Hold
	HoldUnanswered
	LateHold
	Doubt
	Ask
	AskUnanswered
	Answer
	GiveUp
	Suspect
	TimeOut
	Append
	Land
	Read
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
	Verb   Verb
	Host   uint8
	Worker uint8
	Epoch  uint8
}

// String gives the action for traces.
func (a Action) String() string {
	return fmt.Sprintf("%s h%d w%d e%d", a.Verb, a.Host, a.Worker, a.Epoch)
}

// String names the verb.
func (v Verb) String() string {
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
