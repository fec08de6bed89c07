package core

import (
	"time"

	"coltsfootmux/internal/link/frame"
)

// Memory bounds what all links of a process hold in open calls.
type Memory interface {
	// Claim takes n bytes, or returns false.
	Claim(now time.Time, n int) bool
	// Release returns n bytes that were claimed.
	Release(now time.Time, n int)
}

// callBytes is what an open call takes at least, with its goroutine and a short request or
// answer.
const callBytes = 4 << 10

// textNoMemory is the answer of a handler whose answer did not fit into memory.
const textNoMemory = "no memory for the answer"

// LimitMemory sets the bound of what the link's calls hold. It is called before the first Step.
func (a *Acceptor) LimitMemory(m Memory) { a.memory = m }

// hold makes the memory that is counted for a call enough for a message of n bytes. It returns
// false if there is none.
func (a *Acceptor) hold(now time.Time, c *incomingCall, n int) bool {
	if a.memory == nil {
		return true
	}
	switch want := max(n, callBytes); {
	case want > c.held:
		if !a.memory.Claim(now, want-c.held) {
			return false
		}
		c.held = want
	case want < c.held:
		a.memory.Release(now, c.held-want)
		c.held = want
	}
	return true
}

// holdRequest does so for a request with its next chunk.
func (a *Acceptor) holdRequest(now time.Time, c *incomingCall, f *frame.Frame) bool {
	return a.hold(now, c, a.receiving.held(f.Call)+len(f.Payload))
}

// end removes a call and returns its memory.
func (a *Acceptor) end(now time.Time, call uint64) {
	c := a.openCalls[call]
	if c == nil {
		return
	}
	delete(a.openCalls, call)
	if a.memory != nil {
		a.memory.Release(now, c.held)
	}
}
