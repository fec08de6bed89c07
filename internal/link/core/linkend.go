package core

import "time"

// LinkEnd is how a link ended.
type LinkEnd struct {
	// Worked is the time from the opening of the link to the last frame that was received.
	Worked time.Duration
	// Faulty reports that this side closed it, because of silence or corrupt messages.
	Faulty bool
	// Orderly reports that it was idle or that the peer has drained.
	Orderly bool
}

// carriedLittle reports whether the peer has opened the link and then hardly answered.
func (e LinkEnd) carriedLittle() bool { return e.Faulty || e.Worked == 0 && !e.Orderly }
