package instance

import (
	"testing"

	"coltsfootmux/internal/external"
)

func TestContactsOfTheStore(t *testing.T) {
	const a, b external.Topic = "a", "b"
	type call struct {
		topic external.Topic
		ok    bool
	}
	for name, c := range map[string]struct {
		calls []call
		a, b  availability
	}{
		"nothing is believed at the start":          {nil, topicUnknown, topicUnknown},
		"one lost answer says nothing":              {[]call{{a, true}, {a, false}}, topicAvailable, topicUnknown},
		"two in a row lose the topic":               {[]call{{a, true}, {a, false}, {a, false}}, topicUnavailable, topicUnknown},
		"an answer in between starts over":          {[]call{{a, true}, {a, false}, {a, true}, {a, false}}, topicAvailable, topicUnknown},
		"a lost topic leaves the others unsure":     {[]call{{a, true}, {b, true}, {a, false}, {a, false}}, topicUnavailable, topicUnknown},
		"an unsure topic is lost by one failure":    {[]call{{a, true}, {b, true}, {a, false}, {a, false}, {b, false}}, topicUnavailable, topicUnavailable},
		"a topic that answers stays good":           {[]call{{b, true}, {a, false}, {b, true}, {a, false}, {a, false}}, topicUnavailable, topicAvailable},
		"a lost topic is good with its next answer": {[]call{{a, false}, {a, true}}, topicAvailable, topicUnknown},
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
