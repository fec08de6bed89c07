package commit

import "time"

// Direct is the peer of routes over this process's own connection.
const Direct = 0

// Route is one way into the store.
type Route struct {
	// Peer is the peer that makes the append, from 1 on, or Own.
	Peer int
	// Topic is the number of the topic that the record goes to.
	Topic int
}

// Options are what the routes of a record are made of.
type Options struct {
	// Topics are the topics that may take the record, best first; at least one.
	Topics []int
	// DirectTopics are those of them in which the store serves this process, in the same order.
	DirectTopics []int
	Peers        int
	// StoreTime is how long the store takes to answer of late; 0 if not known.
	StoreTime time.Duration
}

// routes gives the routes in the order in which they are tried. Each differs
// from the one before in both parts where it can: partitions of the store are
// lost apart, and so are machines' paths to it.
func (w Options) routes() []Route {
	own, topics, first := w.DirectTopics, w.DirectTopics, 1
	if len(own) == 0 {
		topics, first = w.Topics, 0
	}
	if len(own) == 0 && w.Peers == 0 {
		own = w.Topics
	}
	var out []Route
	for n := range max(len(own), w.Peers) {
		if n < len(own) {
			out = append(out, Route{Peer: Direct, Topic: own[n]})
		}
		if n < w.Peers {
			out = append(out, Route{Peer: n + 1, Topic: topics[(n+first)%len(topics)]})
		}
	}
	return out
}
