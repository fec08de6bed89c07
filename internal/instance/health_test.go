package instance

import (
	"testing"

	"coltsfootmux/internal/external"
)

func TestStoreHealth(t *testing.T) {
	const a, b external.Topic = "a", "b"
	type call struct {
		topic external.Topic
		ok    bool
	}
	for name, c := range map[string]struct {
		calls []call
		a, b  availability
	}{
		"nothing is known at the start":             {nil, topicUnknown, topicUnknown},
		"one failure proves nothing":                {[]call{{a, true}, {a, false}}, topicAvailable, topicUnknown},
		"two failures in a row make it unavailable": {[]call{{a, true}, {a, false}, {a, false}}, topicUnavailable, topicUnknown},
		"an answer in between starts over":          {[]call{{a, true}, {a, false}, {a, true}, {a, false}}, topicAvailable, topicUnknown},
		"an unavailable topic makes others unknown": {[]call{{a, true}, {b, true}, {a, false}, {a, false}}, topicUnavailable, topicUnknown},
		"one failure suffices for an unknown topic": {[]call{{a, true}, {b, true}, {a, false}, {a, false}, {b, false}}, topicUnavailable, topicUnavailable},
		"a topic that answers stays available":      {[]call{{b, true}, {a, false}, {b, true}, {a, false}, {a, false}}, topicUnavailable, topicAvailable},
		"an answer makes a topic available again":   {[]call{{a, false}, {a, true}}, topicAvailable, topicUnknown},
	} {
		t.Run(name, func(t *testing.T) {
			have := make(storeHealth)
			for _, call := range c.calls {
				if call.ok {
					have.recordAnswer(call.topic, 0)
				} else {
					have.recordFailure(call.topic)
				}
			}
			if have.topic(a).state != c.a || have.topic(b).state != c.b {
				t.Errorf("a %v, b %v; want %v, %v", have.topic(a).state, have.topic(b).state, c.a, c.b)
			}
		})
	}
}
