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
	hostListLag = 2 * time.Second
	logLatency  = 3 * time.Millisecond
	// farLogLatency is what an append takes from the region without the log.
	farLogLatency = 45 * time.Millisecond
)

// Platform holds the stand-ins for what the platform gives.
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

// anyPort is a free port on loopback.
const anyPort = "127.0.0.1:0"

// StartPlatform starts stand-ins on free loopback ports. The error wraps ErrStart.
func StartPlatform(s Size, logger *slog.Logger) (*Platform, error) {
	return startPlatform(s, anyPort, anyPort, logger)
}

func startPlatform(s Size, logAddr, hostsAddr string, logger *slog.Logger) (*Platform, error) {
	home := s.Places[0].Region
	p := &Platform{
		Log:     logstore.New(logstore.Options{AppendLatency: latencies(s), Region: home}),
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

// latencies makes appends slow for every region but the first, the log's home.
func latencies(s Size) map[model.Region]time.Duration {
	out := make(map[model.Region]time.Duration)
	for i, place := range s.Places {
		if i == 0 || place.Region == s.Places[0].Region {
			out[place.Region] = logLatency
			continue
		}
		out[place.Region] = farLogLatency
	}
	return out
}

func (p *Platform) startRacks(s Size, place Place) error {
	for r := range place.Racks {
		cell := model.Cell{ID: rackName(place.DataCentre, r), DataCentre: place.DataCentre}
		for i := range s.WorkersPerRack {
			w := worker.New(worker.Options{ID: workerName(cell.ID, i), Capacity: s.Capacity, Region: place.Region})
			addr, err := p.serve(anyPort, w.Handler())
			if err != nil {
				return err
			}
			id := workerName(cell.ID, i)
			p.Workers[id] = w
			cell.Workers = append(cell.Workers, model.Worker{ID: id, Addr: addr, Capacity: s.Capacity})
		}
		p.Cells = append(p.Cells, cell)
	}
	return nil
}

// serve serves a handler and gives the address that it is served at.
func (p *Platform) serve(at string, h http.Handler) (string, error) {
	ln, err := net.Listen("tcp", at)
	if err != nil {
		return "", eris.Wrap(ErrStart, err.Error())
	}
	srv := serve.NewServer(h)
	p.servers = append(p.servers, srv)
	go func() { _ = srv.Serve(ln) }()
	return ln.Addr().String(), nil
}

// Stop ends every stand-in at once.
func (p *Platform) Stop() {
	for _, s := range p.servers {
		_ = s.Close()
	}
}
