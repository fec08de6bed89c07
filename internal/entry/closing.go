package entry

import (
	"net/http"
	"time"
)

// closing sets what an answer's headers say when it is written, and bounds how
// long its writing may take.
type closing struct {
	http.ResponseWriter
	server *Server
	begun  bool
}

// Unwrap lets http.ResponseController reach the connection.
func (c *closing) Unwrap() http.ResponseWriter { return c.ResponseWriter }

// WriteHeader closes the connection behind the answer while the host drains.
func (c *closing) WriteHeader(status int) {
	c.begin()
	c.ResponseWriter.WriteHeader(status)
}

// Write writes the answer's body.
func (c *closing) Write(b []byte) (int, error) {
	c.begin()
	return c.ResponseWriter.Write(b)
}

func (c *closing) begin() {
	if c.begun {
		return
	}
	c.begun = true
	if c.server.draining.Load() {
		c.Header().Set("Connection", "close")
	}
	until := time.Now().Add(c.server.opts.WriteTimeout)
	_ = http.NewResponseController(c.ResponseWriter).SetWriteDeadline(until)
}
