package commit

import "time"

// Direct is the Peer of a route over this process's own connection.
const Direct = 0

// Route is one way to append the record to the store.
type Route struct {
	// Peer is the number of the peer that makes the append, from 1, or Direct.
	Peer int
	// Topic is the number of the topic to which the record is appended.
	Topic int
}

// Options describes what the routes of a record can use.
type Options struct {
	// Topics are the topics that may take the record, best first; there is at least one.
	Topics []int
	// DirectTopics are those of Topics for which the store serves this process directly, in
	// the same order.
	DirectTopics []int
	Peers        int
	// StoreTime is the store's recent response time; 0 if not known.
	StoreTime time.Duration
}

// routes returns the routes in the order of their use. Where possible, each differs from
// the one before in both peer and topic, as topics of the store fail independently, and
// so do the connections of machines to it.
func (o Options) routes() []Route {
	direct, topics, first := o.DirectTopics, o.DirectTopics, 1
	if len(direct) == 0 {
		topics, first = o.Topics, 0
	}
	if len(direct) == 0 && o.Peers == 0 {
		direct = o.Topics
	}
	var out []Route
	for n := range max(len(direct), o.Peers) {
		if n < len(direct) {
			out = append(out, Route{Peer: Direct, Topic: direct[n]})
		}
		if n < o.Peers {
			out = append(out, Route{Peer: n + 1, Topic: topics[(n+first)%len(topics)]})
		}
	}
	return out
}
