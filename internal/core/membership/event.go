package membership

import "coltsfootmux/internal/model"

// Event is what can happen to a Core.
type Event interface{ event() }

// HostsSeen gives the host list as the platform last knew it.
type HostsSeen struct{ Hosts []model.Host }

// Answered is a worker's own answer, with whether it said that it is leaving.
type Answered struct {
	Worker  model.WorkerID
	Leaving bool
}

// Silent says that a call to a worker went unanswered.
type Silent struct{ Worker model.WorkerID }

func (HostsSeen) event() {}
func (Answered) event()  {}
func (Silent) event()    {}
