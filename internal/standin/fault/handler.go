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

// bodyTimeout limits how long a caller may take to send its request body.
const bodyTimeout = 5 * time.Second

// Handler injects the faults of inj into next. It reads each request completely
// first: like a real service, it executes a request that has arrived even if the
// caller gives up.
func Handler(inj *Injector, next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, err := readBody(w, r)
		if err != nil {
			serve.WriteProblem(w, bodyProblem(err))
			return
		}
		if inj.noteConn(r.RemoteAddr) {
			inj.holdUntilCancelled(r)
		}
		r = r.WithContext(withArrival(r.Context(), inj.clock()))
		if inj.BeforeAction(context.WithoutCancel(r.Context())) {
			serve.WriteProblem(w, protocol.NewProblem(protocol.CodeUnavailable, "down"))
			return
		}
		response := serve.NewRecorder()
		next.ServeHTTP(response, withBody(r, body))
		if inj.LoseAnswer() {
			panic(http.ErrAbortHandler)
		}
		if inj.noteConn(r.RemoteAddr) {
			inj.holdUntilCancelled(r)
		}
		response.SendTo(w)
	})
}

// holdUntilCancelled holds a request on a silenced connection until its caller
// gives up, and then closes the connection.
func (inj *Injector) holdUntilCancelled(r *http.Request) {
	<-r.Context().Done()
	inj.forgetConn(r.RemoteAddr)
	panic(http.ErrAbortHandler)
}

// withBody returns a copy of the request with the body that has been read. The
// copy keeps the caller's context, so that a call that waits ends when its caller
// gives up; other calls ignore the context.
func withBody(r *http.Request, body []byte) *http.Request {
	out := r.Clone(r.Context())
	out.Body = io.NopCloser(bytes.NewReader(body))
	out.ContentLength = int64(len(body))
	return out
}

func readBody(w http.ResponseWriter, r *http.Request) ([]byte, error) {
	rc := http.NewResponseController(w)
	// Not every ResponseWriter supports deadlines; httptest.ResponseRecorder does not.
	_ = rc.SetReadDeadline(time.Now().Add(bodyTimeout))
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, protocol.MaxRequest))
	if err != nil {
		// Keep the deadline: without it the server would wait forever for the rest.
		return nil, err
	}
	_ = rc.SetReadDeadline(time.Time{})
	return body, nil
}

func bodyProblem(err error) protocol.Problem {
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return protocol.NewProblem(protocol.CodeTooLarge, "request body exceeds the size limit")
	}
	return protocol.NewProblem(protocol.CodeBadRequest, "request body truncated or too slow")
}
