package instance

import (
	"time"

	"coltsfootmux/internal/external"
)

// failuresUntilUnavailable is how many calls in a row must fail before a topic
// counts as unavailable; a single failure proves nothing.
const failuresUntilUnavailable = 2

// answerWindow is how long after an answer a refusal for the store's rate limit says nothing
// about a topic: the store serves this process, but not each of its calls.
const answerWindow = time.Second

// availability says whether this process can use one topic of the store. The store
// may lose some of its partitions and serve the others.
type availability int

const (
	// topicUnknown is the state of a topic that has not answered since the start, or
	// since another topic became unavailable. It is not used before it answers a probe.
	topicUnknown availability = iota
	topicAvailable
	topicUnavailable
)

// topicHealth is what is known of one topic.
type topicHealth struct {
	state    availability
	failures int
	// lastAnswer is the boot time of the last answer, 0 before the first.
	lastAnswer time.Duration
}

// storeHealth holds the health of every topic that this process has called.
type storeHealth map[external.Topic]*topicHealth

func (h storeHealth) topic(t external.Topic) *topicHealth {
	have := h[t]
	if have == nil {
		have = &topicHealth{}
		h[t] = have
	}
	return have
}

// reachable reports whether any topic is available.
func (h storeHealth) reachable() bool {
	for _, t := range h {
		if t.state == topicAvailable {
			return true
		}
	}
	return false
}

// answeredWithin reports whether the store answered for any topic within the given time.
func (h storeHealth) answeredWithin(now, d time.Duration) bool {
	for _, t := range h {
		if t.lastAnswer > 0 && now-t.lastAnswer <= d {
			return true
		}
	}
	return false
}

// noTopicUnavailable reports whether no topic is unavailable.
func (h storeHealth) noTopicUnavailable() bool {
	for _, t := range h {
		if t.state == topicUnavailable {
			return false
		}
	}
	return true
}

// recordAnswer records a call that was answered at a boot time and reports whether
// the topic had been unavailable.
func (h storeHealth) recordAnswer(t external.Topic, at time.Duration) (recovered bool) {
	have := h.topic(t)
	recovered = have.state == topicUnavailable
	have.state, have.failures, have.lastAnswer = topicAvailable, 0, at
	return recovered
}

// recordFailure records a failed call and reports whether it made the topic
// unavailable. All available topics then become unknown, and are probed, as the whole
// store may be down.
func (h storeHealth) recordFailure(t external.Topic) (becameUnavailable bool) {
	have := h.topic(t)
	have.failures++
	if have.state == topicUnavailable || have.state == topicAvailable && have.failures < failuresUntilUnavailable {
		return false
	}
	have.state = topicUnavailable
	for _, o := range h {
		if o.state == topicAvailable {
			o.state = topicUnknown
		}
	}
	return true
}
