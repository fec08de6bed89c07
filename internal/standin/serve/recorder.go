package serve

import (
	"bytes"
	"net/http"
)

// Recorder is an http.ResponseWriter that buffers a response until the caller
// decides whether to send it.
type Recorder struct {
	header http.Header
	status int
	body   bytes.Buffer
}

// NewRecorder returns an empty Recorder.
func NewRecorder() *Recorder {
	return &Recorder{header: make(http.Header), status: http.StatusOK}
}

// Header returns the header to be sent.
func (r *Recorder) Header() http.Header { return r.header }

// WriteHeader sets the status to be sent.
func (r *Recorder) WriteHeader(status int) { r.status = status }

// Write appends to the body to be sent.
func (r *Recorder) Write(p []byte) (int, error) { return r.body.Write(p) }

// SendTo writes the buffered response to w.
func (r *Recorder) SendTo(w http.ResponseWriter) {
	for k, v := range r.header {
		w.Header()[k] = v
	}
	w.WriteHeader(r.status)
	_, _ = w.Write(r.body.Bytes())
}
