package link

import (
	"net/http"

	"coltsfootmux/internal/model"
)

// Path is the HTTP path of a Server.
const Path = "/link"

// The headers in which both sides identify themselves.
const (
	headerHost   = "Coltsfootmux-Host"
	headerRegion = "Coltsfootmux-Region"
)

// Peer is the process at the other end of a link, as it identifies itself.
type Peer struct {
	Host   model.HostID
	Region model.Region
}

func (p Peer) setHeaders(h http.Header) {
	h.Set(headerHost, string(p.Host))
	h.Set(headerRegion, string(p.Region))
}

func peerFromHeaders(h http.Header) Peer {
	return Peer{Host: model.HostID(h.Get(headerHost)), Region: model.Region(h.Get(headerRegion))}
}
