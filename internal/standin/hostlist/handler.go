package hostlist

import (
	"context"
	"net/http"

	"coltsfootmux/internal/model"
	"coltsfootmux/internal/platform/protocol"
	"coltsfootmux/internal/standin/fault"
	"coltsfootmux/internal/standin/serve"
)

// Paths that tests and demonstrations use to control the stand-in.
const (
	PathFault    = "/fault"
	PathRegister = "/register"
	PathLeave    = "/leave"
	PathRemove   = "/remove"
)

// Handler returns an HTTP handler for the list, as docs/PLATFORM.md describes.
func (l *List) Handler() http.Handler {
	root := http.NewServeMux()
	root.Handle("/v1/", serve.WithRegionHeader(l.region, fault.Handler(l.faults, l.api())))
	serve.Handle(root, "POST "+PathFault, controlHandler(l.SetFault))
	serve.Handle(root, "POST "+PathRegister, controlHandler(l.Register))
	serve.Handle(root, "POST "+PathLeave, controlHandler(l.Leave))
	serve.Handle(root, "POST "+PathRemove, controlHandler(func(h model.Host) { l.Remove(h.ID) }))
	return root
}

func (l *List) api() http.Handler {
	mux := http.NewServeMux()
	serve.Handle(mux, "GET "+protocol.PathHosts, func(context.Context, protocol.Empty) (protocol.HostsAnswer, error) {
		return protocol.HostsAnswer{Hosts: l.hosts()}, nil
	})
	return mux
}

func controlHandler[In any](do func(In)) func(context.Context, In) (protocol.Empty, error) {
	return func(_ context.Context, in In) (protocol.Empty, error) {
		do(in)
		return protocol.Empty{}, nil
	}
}
