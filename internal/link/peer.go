package link

import (
	"net/http"

	"coltsfootmux/internal/model"
)

// Path is where servers are mounted.
const Path = "/link"

// The headers by which both sides say who they are.
const (
	headerHost   = "Coltsfootmux-Host"
	headerRegion = "Coltsfootmux-Region"
)

// Peer is the process at the other end of a link, by its own word.
type Peer struct {
	Host   model.HostID
	Region model.Region
}

func (p Peer) set(h http.Header) {
	h.Set(headerHost, string(p.Host))
	h.Set(headerRegion, string(p.Region))
}

func peerOf(h http.Header) Peer {
	return Peer{Host: model.HostID(h.Get(headerHost)), Region: model.Region(h.Get(headerRegion))}
}
