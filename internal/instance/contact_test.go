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
		a, b  contact
	}{
		"nothing is believed at the start":          {nil, contactUnsure, contactUnsure},
		"one lost answer says nothing":              {[]call{{a, true}, {a, false}}, contactGood, contactUnsure},
		"two in a row lose the topic":               {[]call{{a, true}, {a, false}, {a, false}}, contactLost, contactUnsure},
		"an answer in between starts over":          {[]call{{a, true}, {a, false}, {a, true}, {a, false}}, contactGood, contactUnsure},
		"a lost topic leaves the others unsure":     {[]call{{a, true}, {b, true}, {a, false}, {a, false}}, contactLost, contactUnsure},
		"an unsure topic is lost by one failure":    {[]call{{a, true}, {b, true}, {a, false}, {a, false}, {b, false}}, contactLost, contactLost},
		"a topic that answers stays good":           {[]call{{b, true}, {a, false}, {b, true}, {a, false}, {a, false}}, contactLost, contactGood},
		"a lost topic is good with its next answer": {[]call{{a, false}, {a, true}}, contactGood, contactUnsure},
	} {
		t.Run(name, func(t *testing.T) {
			have := make(contacts)
			for _, call := range c.calls {
				if call.ok {
					have.answered(call.topic, 0)
				} else {
					have.failed(call.topic)
				}
			}
			if have.of(a).contact != c.a || have.of(b).contact != c.b {
				t.Errorf("a %v, b %v; want %v, %v", have.of(a).contact, have.of(b).contact, c.a, c.b)
			}
		})
	}
}
