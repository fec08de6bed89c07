package httpcall

import (
	"net/http"
	"path"

	"coltsfootmux/internal/metric"
	"coltsfootmux/internal/model"
	"coltsfootmux/internal/platform/protocol"
)

var (
	mSent = metric.NewCounterVec("coltsfootmux_httpcall_sent_bytes_total", "bytes", "call",
		"request bodies sent to platform services, by call")
	mReceived = metric.NewCounterVec("coltsfootmux_httpcall_received_bytes_total", "bytes", "call",
		"answer bodies received from platform services, by call")
	mSentAcross = metric.NewCounterVec("coltsfootmux_httpcall_sent_cross_region_bytes_total", "bytes", "call",
		"request bodies sent to platform services of another region, by call")
	mReceivedAcross = metric.NewCounterVec("coltsfootmux_httpcall_received_cross_region_bytes_total", "bytes", "call",
		"answer bodies received from platform services of another region, by call")
)

// count adds a call's bodies to the metrics. The calls are a fixed set, as their
// paths are constants of package protocol. Calls without an answer are not
// counted, as it is the answer that tells the far side's region.
func count(own model.Region, req *http.Request, res *http.Response, received int) {
	call := path.Base(req.URL.Path)
	sent := max(req.ContentLength, 0)
	mSent.With(call).AddInt64(sent)
	mReceived.With(call).Add(received)
	far := model.Region(res.Header.Get(protocol.HeaderRegion))
	if far == "" || own == "" || far == own {
		return
	}
	mSentAcross.With(call).AddInt64(sent)
	mReceivedAcross.With(call).Add(received)
}
