package admin

import (
	"net/http"
	"time"

	"coltsfootmux/internal/problem"
)

// turnTimeout bounds the wait for one's turn to send a document.
const turnTimeout = 10 * time.Second

// turn waits until no other document is being read, and gives what ends the
// turn; nil when the call has been answered or has gone.
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
	// A listener without deadlines, as in tests, goes without.
	c := http.NewResponseController(w)
	_ = c.SetReadDeadline(time.Now().Add(s.o.DocumentTimeout))
	return func() {
		_ = c.SetReadDeadline(time.Time{})
		<-s.parsing
	}
}
