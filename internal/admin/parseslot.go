package admin

import (
	"net/http"
	"time"

	"coltsfootmux/internal/problem"
)

// parseSlotTimeout is the longest that a request waits to have its document read.
const parseSlotTimeout = 10 * time.Second

// acquireParseSlot waits until no other document is being read and returns the
// function that lets the next one proceed. It returns nil if the wait timed out,
// after writing the error response, or if the client disconnected.
func (s *Server) acquireParseSlot(w http.ResponseWriter, r *http.Request) (release func()) {
	t := time.NewTimer(parseSlotTimeout)
	defer t.Stop()
	select {
	case s.parseSlot <- struct{}{}:
	case <-t.C:
		p := problem.New(http.StatusServiceUnavailable, codeBusy, "Another document is being read; nothing was done.")
		p.RetryAfter = parseSlotTimeout
		p.Write(w)
		return nil
	case <-r.Context().Done():
		return nil
	}
	// Setting the deadline fails if the listener does not support it, as in tests.
	c := http.NewResponseController(w)
	_ = c.SetReadDeadline(time.Now().Add(s.opts.DocumentTimeout))
	return func() {
		_ = c.SetReadDeadline(time.Time{})
		<-s.parseSlot
	}
}
