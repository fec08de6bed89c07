// Package httphost is the platform.HostList binding over HTTP and JSON.
package httphost

import (
	"context"

	"github.com/rotisserie/eris"

	"coltsfootmux/internal/model"
	"coltsfootmux/internal/platform"
	"coltsfootmux/internal/platform/httpcall"
	"coltsfootmux/internal/platform/protocol"
)

// Options are the settings of a HostList; see httpcall.Options.
type Options = httpcall.Options

// HostList is a client of the platform's host list.
type HostList struct{ call *httpcall.Caller }

var _ platform.HostList = (*HostList)(nil)

// New makes the client of the host list at a base URL. It does no I/O.
func New(baseURL string, opts Options) *HostList {
	return &HostList{call: httpcall.New(baseURL, opts)}
}

// Close gives the idle connections up.
func (h *HostList) Close() { h.call.Close() }

// Hosts gives the list as the platform last knew it.
func (h *HostList) Hosts(ctx context.Context) ([]model.Host, error) {
	var out protocol.HostsAnswer
	if err := h.call.Get(ctx, protocol.PathHosts, &out); err != nil {
		return nil, eris.Wrap(err, "hosts")
	}
	return out.Hosts, nil
}
