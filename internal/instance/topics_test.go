package instance

import "testing"

func TestTopicSetHasABitForEveryTopic(t *testing.T) {
	var s topicSet
	for n := range topicsJobs {
		if s.has(n) {
			t.Errorf("topic %d is in the set before it was added", n)
		}
		if s = s.with(n); !s.has(n) {
			t.Errorf("topic %d is not in the set", n)
		}
	}
}
