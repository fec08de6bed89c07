package logstore

import (
	"context"
	"net/http"

	"coltsfootmux/internal/model"
	"coltsfootmux/internal/platform"
	"coltsfootmux/internal/platform/protocol"
	"coltsfootmux/internal/standin/fault"
	"coltsfootmux/internal/standin/serve"
)

// Paths that tests and demonstrations use to control the stand-in.
const (
	PathFault   = "/fault"
	PathSilence = "/silence"
)

// Handler returns an HTTP handler for the store, as docs/PLATFORM.md describes.
func (s *Store) Handler() http.Handler {
	root := http.NewServeMux()
	root.Handle("/v1/", serve.WithRegionHeader(s.opts.Region, fault.Handler(s.faults, s.api())))
	serve.Handle(root, "POST "+PathFault, func(_ context.Context, f fault.Fault) (protocol.Empty, error) {
		s.SetFault(f)
		return protocol.Empty{}, nil
	})
	serve.Handle(root, "POST "+PathSilence, func(context.Context, protocol.Empty) (protocol.Empty, error) {
		s.SilenceConnections()
		return protocol.Empty{}, nil
	})
	return root
}

func (s *Store) api() http.Handler {
	mux := http.NewServeMux()
	serve.Handle(mux, "POST "+protocol.PathAppend, s.serveAppend)
	serve.Handle(mux, "POST "+protocol.PathRead, s.serveRead)
	serve.Handle(mux, "POST "+protocol.PathBounds, s.serveBounds)
	return withRegion(mux)
}

type regionKey struct{}

// withRegion puts the caller's region into the request's context.
func withRegion(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		region := model.Region(r.Header.Get(protocol.HeaderRegion))
		next.ServeHTTP(w, r.WithContext(context.WithValue(r.Context(), regionKey{}, region)))
	})
}

// serveAppend carries out the append even if its caller gives up.
func (s *Store) serveAppend(ctx context.Context, in protocol.AppendRequest) (protocol.AppendAnswer, error) {
	region, _ := ctx.Value(regionKey{}).(model.Region)
	sleep(context.WithoutCancel(ctx), s.opts.AppendLatency[region])
	first, err := s.append(in.Stream, in.Records)
	return protocol.AppendAnswer{Offset: first}, err
}

func (s *Store) serveRead(ctx context.Context, in protocol.ReadRequest) (protocol.ReadAnswer, error) {
	es, err := s.poll(ctx, in.Stream, in.From, in.Max, min(in.Wait, protocol.MaxPoll))
	return protocol.ReadAnswer{Entries: es}, err
}

func (s *Store) serveBounds(_ context.Context, in protocol.BoundsRequest) (platform.Bounds, error) {
	return s.bounds(in.Stream)
}
