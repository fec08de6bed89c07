package fault

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"coltsfootmux/internal/platform/protocol"
	"coltsfootmux/internal/standin/serve"
)

// bodyTimeout bounds how long a caller may take to send its request body.
const bodyTimeout = 5 * time.Second

// Handler puts the faults of a Set in front of next. It takes each request in
// whole first: what has arrived is acted on even when its caller gives up, as a
// real service would.
func Handler(s *Injector, next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, err := readBody(w, r)
		if err != nil {
			serve.WriteProblem(w, bodyProblem(err))
			return
		}
		if s.used(r.RemoteAddr) {
			s.stall(r)
		}
		r = r.WithContext(arrived(r.Context(), s.clock()))
		if s.BeforeAction(context.WithoutCancel(r.Context())) {
			serve.WriteProblem(w, protocol.NewProblem(protocol.CodeUnavailable, "down"))
			return
		}
		held := serve.NewRecorder()
		next.ServeHTTP(held, forward(r, body))
		if s.LoseAnswer() {
			panic(http.ErrAbortHandler)
		}
		if s.used(r.RemoteAddr) {
			s.stall(r)
		}
		held.SendTo(w)
	})
}

// stall keeps a silent connection's request until its caller gives up, and
// then drops it.
func (s *Injector) stall(r *http.Request) {
	<-r.Context().Done()
	s.forget(r.RemoteAddr)
	panic(http.ErrAbortHandler)
}

// forward gives the request as the service proper sees it. A request that
// waits ends with its caller; all others go on without it.
func forward(r *http.Request, body []byte) *http.Request {
	out := r.Clone(r.Context())
	out.Body = io.NopCloser(bytes.NewReader(body))
	out.ContentLength = int64(len(body))
	return out
}

func readBody(w http.ResponseWriter, r *http.Request) ([]byte, error) {
	rc := http.NewResponseController(w)
	// Not every ResponseWriter knows deadlines; a test's recorder does not.
	_ = rc.SetReadDeadline(time.Now().Add(bodyTimeout))
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, protocol.MaxRequest))
	if err != nil {
		// The deadline stays, or the server would wait without one for the rest.
		return nil, err
	}
	_ = rc.SetReadDeadline(time.Time{})
	return body, nil
}

func bodyProblem(err error) protocol.Problem {
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return protocol.NewProblem(protocol.CodeTooLarge, "request body over the size limit")
	}
	return protocol.NewProblem(protocol.CodeBadRequest, "request body cut short or too slow")
}
