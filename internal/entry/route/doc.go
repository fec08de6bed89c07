// Package route decides, for each call about a key, which scheduler to send it to
// next, when to wait, and which outcome to report when the time runs out. It is
// deterministic: Step takes an event and returns the next action.
//
// The scheduler that owns a key's group recognizes a request that it already has
// by its key, so a call whose outcome is unknown may be sent again.
//
// A call proceeds in rounds: it is sent to one scheduler after the other, then it
// waits before the next round.
package route
