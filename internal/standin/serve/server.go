package serve

import (
	"net/http"
	"time"

	"coltsfootmux/internal/model"
	"coltsfootmux/internal/platform/protocol"
)

const (
	headerTimeout  = 5 * time.Second
	idleTimeout    = 2 * time.Minute
	maxHeaderBytes = 16 << 10
)

// WithRegionHeader adds a header with the service's region to every response.
func WithRegionHeader(region model.Region, h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if region != "" {
			w.Header().Set(protocol.HeaderRegion, string(region))
		}
		h.ServeHTTP(w, r)
	})
}

// NewServer returns a server that limits header size, header time and idle time.
func NewServer(h http.Handler) *http.Server {
	return &http.Server{
		Handler:           h,
		ReadHeaderTimeout: headerTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
	}
}
