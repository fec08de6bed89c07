package instance

import (
	"time"

	"coltsfootmux/internal/external"
)

// storeLostAfter is how many calls in a row must fail before a topic counts as
// lost to this process; a single lost answer says nothing.
const storeLostAfter = 2

// contact is what is believed of this process's contact with one topic of the
// store. The store may lose some of its partitions and serve the others.
type contact int

const (
	// contactUnsure topics have not answered since the start, or since another
	// topic was lost; they are not used before a probe was answered.
	contactUnsure contact = iota
	contactGood
	contactLost
)

type topicContact struct {
	contact  contact
	failures int
	// lastOK is the boot time of the last answer, 0 before any.
	lastOK time.Duration
}

// contacts are the topics that this process has called.
type contacts map[external.Topic]*topicContact

func (c contacts) of(t external.Topic) *topicContact {
	have := c[t]
	if have == nil {
		have = &topicContact{}
		c[t] = have
	}
	return have
}

// reachable says whether any topic answers.
func (c contacts) reachable() bool {
	for _, t := range c {
		if t.contact == contactGood {
			return true
		}
	}
	return false
}

// whole says whether no topic is lost.
func (c contacts) whole() bool {
	for _, t := range c {
		if t.contact == contactLost {
			return false
		}
	}
	return true
}

// answered takes in a call that was answered at a boot time and says whether the
// topic had been lost.
func (c contacts) answered(t external.Topic, at time.Duration) (back bool) {
	have := c.of(t)
	back = have.contact == contactLost
	have.contact, have.failures, have.lastOK = contactGood, 0, at
	return back
}

// failed takes in a call that failed and says whether the topic is lost by it.
// Others that were good are to be probed then: the whole store may be gone.
func (c contacts) failed(t external.Topic) (lost bool) {
	have := c.of(t)
	have.failures++
	if have.contact == contactLost || have.contact == contactGood && have.failures < storeLostAfter {
		return false
	}
	have.contact = contactLost
	for _, o := range c {
		if o.contact == contactGood {
			o.contact = contactUnsure
		}
	}
	return true
}
