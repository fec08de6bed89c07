package admin

import (
	"net/http"
	"time"

	"coltsfootmux/internal/problem"
)

// turnTimeout is the longest that a request waits to have its document read.
const turnTimeout = 10 * time.Second

// turn waits until no other document is being read and returns the function that
// lets the next one proceed. It returns nil if the wait timed out, after writing the
// error response, or if the client disconnected.
func (s *Server) turn(w http.ResponseWriter, r *http.Request) (end func()) {
	t := time.NewTimer(turnTimeout)
	defer t.Stop()
	select {
	case s.parsing <- struct{}{}:
	case <-t.C:
		p := problem.New(http.StatusServiceUnavailable, codeBusy, "Another document is being read; nothing was done.")
		p.RetryAfter = turnTimeout
		p.Write(w)
		return nil
	case <-r.Context().Done():
		return nil
	}
	// Setting the deadline fails if the listener does not support it, as in tests.
	c := http.NewResponseController(w)
	_ = c.SetReadDeadline(time.Now().Add(s.o.DocumentTimeout))
	return func() {
		_ = c.SetReadDeadline(time.Time{})
		<-s.parsing
	}
}
