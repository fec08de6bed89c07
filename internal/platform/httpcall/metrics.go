package httpcall

import (
	"net/http"
	"path"

	"coltsfootmux/internal/metric"
)

var (
	mSent = metric.NewCounterVec("coltsfootmux_httpcall_sent_bytes_total", "bytes", "call",
		"request bodies sent to platform services, by call")
	mReceived = metric.NewCounterVec("coltsfootmux_httpcall_received_bytes_total", "bytes", "call",
		"answer bodies received from platform services, by call")
)

// count adds a call's bodies to the metrics. The calls are a fixed set, as their
// paths are constants of package protocol.
func count(req *http.Request, received int) {
	call := path.Base(req.URL.Path)
	mSent.With(call).AddInt64(max(req.ContentLength, 0))
	mReceived.With(call).Add(received)
}
