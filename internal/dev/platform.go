package dev

import (
	"log/slog"
	"net"
	"net/http"
	"time"

	"github.com/rotisserie/eris"

	"coltsfootmux/internal/model"
	"coltsfootmux/internal/standin/hostlist"
	"coltsfootmux/internal/standin/logstore"
	"coltsfootmux/internal/standin/serve"
	"coltsfootmux/internal/standin/worker"
)

// ErrStart means that a part of the deployment could not be started.
var ErrStart = eris.New("deployment not started")

const (
	hostListLag       = 2 * time.Second
	homeAppendLatency = 3 * time.Millisecond
	// remoteAppendLatency is the time of an append from a region other than the
	// log's.
	remoteAppendLatency = 45 * time.Millisecond
)

// Platform holds the stand-ins for the platform's log service, host list and
// workers.
type Platform struct {
	Log      *logstore.Store
	Hosts    *hostlist.List
	Workers  map[model.WorkerID]*worker.Worker
	Cells    []model.Cell
	LogURL   string
	HostsURL string

	servers []*http.Server
	logger  *slog.Logger
}

// anyPort is the loopback address to listen on to get a free port.
const anyPort = "127.0.0.1:0"

// StartPlatform starts the stand-ins on free loopback ports. The error wraps ErrStart.
func StartPlatform(s Size, logger *slog.Logger) (*Platform, error) {
	return startPlatform(s, anyPort, anyPort, logger)
}

func startPlatform(s Size, logAddr, hostsAddr string, logger *slog.Logger) (*Platform, error) {
	home := s.Places[0].Region
	p := &Platform{
		Log:     logstore.New(logstore.Options{AppendLatency: appendLatencies(s), Region: home}),
		Hosts:   hostlist.New(hostlist.Options{Lag: hostListLag, Region: home}),
		Workers: make(map[model.WorkerID]*worker.Worker),
		logger:  logger,
	}
	addr, err := p.serve(logAddr, p.Log.Handler())
	if err != nil {
		return nil, err
	}
	p.LogURL = "http://" + addr
	if addr, err = p.serve(hostsAddr, p.Hosts.Handler()); err != nil {
		return nil, err
	}
	p.HostsURL = "http://" + addr
	for _, place := range s.Places {
		if err := p.startRacks(s, place); err != nil {
			p.Stop()
			return nil, err
		}
	}
	return p, nil
}

// appendLatencies returns the time of an append to the log from each region. The
// log is in the region of the first data centre.
func appendLatencies(s Size) map[model.Region]time.Duration {
	out := make(map[model.Region]time.Duration)
	for i, place := range s.Places {
		if i == 0 || place.Region == s.Places[0].Region {
			out[place.Region] = homeAppendLatency
			continue
		}
		out[place.Region] = remoteAppendLatency
	}
	return out
}

// startRacks starts the workers of a data centre. Each rack is one cell.
func (p *Platform) startRacks(s Size, place Place) error {
	for r := range place.Racks {
		cell := model.Cell{ID: rackName(place.DataCentre, r), DataCentre: place.DataCentre}
		for i := range s.WorkersPerRack {
			w := worker.New(worker.Options{ID: workerName(cell.ID, i), Capacity: s.WorkerCapacity, Region: place.Region})
			addr, err := p.serve(anyPort, w.Handler())
			if err != nil {
				return err
			}
			id := workerName(cell.ID, i)
			p.Workers[id] = w
			cell.Workers = append(cell.Workers, model.Worker{ID: id, Addr: addr, Capacity: s.WorkerCapacity})
		}
		p.Cells = append(p.Cells, cell)
	}
	return nil
}

// serve starts an HTTP server for a handler and returns the address that it
// listens on.
func (p *Platform) serve(listenAddr string, h http.Handler) (string, error) {
	ln, err := net.Listen("tcp", listenAddr)
	if err != nil {
		return "", eris.Wrap(ErrStart, err.Error())
	}
	srv := serve.NewServer(h)
	p.servers = append(p.servers, srv)
	go func() { _ = srv.Serve(ln) }()
	return ln.Addr().String(), nil
}

// Stop closes the servers of all stand-ins without waiting for open requests.
func (p *Platform) Stop() {
	for _, s := range p.servers {
		_ = s.Close()
	}
}
