package faultrun

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/rotisserie/eris"

	"coltsfootmux/internal/config"
	"coltsfootmux/internal/core/ownership"
	"coltsfootmux/internal/mapping"
	"coltsfootmux/internal/model"
)

const (
	callTimeout    = time.Second
	tickEvery      = 50 * time.Millisecond
	listEvery      = time.Second
	listLag        = 5 * time.Second
	slotsPerWorker = 8
	workersPerCell = 8
	minRun         = 50 * time.Millisecond
	maxRun         = 800 * time.Millisecond
	leaseTTL       = time.Minute
	// warmUp is how long workers have been up at the start.
	warmUp = time.Hour
)

var errNoAnswer = eris.New("no answer")

// Fleet is the size of a run.
type Fleet struct {
	Hosts   int
	Workers int
	Groups  int
	// Regions is 1 or 2; hosts and cells are spread over them in turn.
	Regions int
	Seed    uint64
}

// Sim is one run.
type Sim struct {
	now         time.Time
	rng         *rand.Rand
	queue       queue
	net         network
	log         logService
	cfg         *config.Versioned
	routes      *mapping.Mapping
	targets     []ownership.Target
	hosts       []*host
	machines    []*machine
	byWorker    map[model.WorkerID]*machine
	entries     []*entry
	requests    []*request
	planned     int
	keys        int
	cancelsOpen int
	gains       []gainNote
}

// gainNote notes that a host gained a scope.
type gainNote struct {
	at    time.Time
	scope model.Scope
	host  model.HostID
}

// New sets a fleet up; its hosts start at once.
func New(f Fleet) *Sim {
	s := &Sim{
		now:      time.Date(2026, 12, 3, 12, 0, 0, 0, time.UTC),
		rng:      rand.New(rand.NewPCG(f.Seed, 4)),
		byWorker: make(map[model.WorkerID]*machine),
	}
	s.net = network{
		cut:    make(map[model.Region]time.Time),
		silent: make(map[[2]string]bool),
		sent:   make(map[string]int),
	}
	s.log.place = place{"log", region(0)}
	s.build(f)
	s.now = s.now.Add(warmUp)
	for i := range f.Hosts {
		s.addHost(fmt.Sprintf("h%d", i+1), region(i%f.Regions))
	}
	for i := range f.Regions {
		s.entries = append(s.entries, newEntry(s, region(i)))
	}
	return s
}

func region(i int) model.Region { return model.Region(rune('a' + i)) }

// build lays the fleet's configuration down.
func (s *Sim) build(f Fleet) {
	d := config.Document{
		Fleet: config.Fleet{KeyGroups: f.Groups, CellsPerGroup: 3, Witnesses: 5},
		Defaults: config.Defaults{
			MaxAttempts:  4,
			KeyRetention: config.Duration(24 * time.Hour),
			CallerSkew:   config.Duration(callerSkew),
		},
	}
	for c := range (f.Workers + workersPerCell - 1) / workersPerCell {
		r := region(c % f.Regions)
		cell := model.Cell{ID: model.CellID(fmt.Sprintf("c%d", c)), DataCentre: model.DataCentre(r)}
		for w := c * workersPerCell; w < min((c+1)*workersPerCell, f.Workers); w++ {
			id := model.WorkerID(fmt.Sprintf("w%d", w+1))
			s.addMachine(id, r)
			cell.Workers = append(cell.Workers, model.Worker{ID: id, Capacity: model.Shape{Slots: slotsPerWorker}})
		}
		d.Fleet.Cells = append(d.Fleet.Cells, cell)
	}
	s.cfg = &config.Versioned{Version: 1, Document: d}
	s.routes = mapping.New(d.Fleet)
	for _, c := range d.Fleet.Cells {
		s.targets = append(s.targets, ownership.Target{
			Scope: model.CellScope(c.ID), Workers: c.Workers, Near: c.DataCentre,
		})
	}
	for g := range model.GroupID(f.Groups) {
		s.targets = append(s.targets, s.groupTarget(g))
	}
}

func (s *Sim) groupTarget(g model.GroupID) ownership.Target {
	t := ownership.Target{Scope: model.GroupScope(g)}
	for _, c := range s.routes.Cells(g) {
		t.Workers = append(t.Workers, c.Workers...)
	}
	for _, w := range s.routes.Witnesses(g) {
		t.Witnesses = append(t.Witnesses, w.ID)
	}
	return t
}

func (s *Sim) after(d time.Duration, do func()) { s.queue.add(s.now.Add(d), do) }

// Run lets virtual time pass.
func (s *Sim) Run(d time.Duration) {
	end := s.now.Add(d)
	for {
		e, ok := s.queue.next(end)
		if !ok {
			break
		}
		s.now = e.at
		e.do()
	}
	s.now = end
}

// Host finds a host by its name; nil for none.
func (s *Sim) host(id string) *host {
	for _, h := range s.hosts {
		if h.name == id {
			return h
		}
	}
	return nil
}

// hostList is what the platform's lagging list shows.
func (s *Sim) hostList() []model.Host {
	var out []model.Host
	for _, h := range s.hosts {
		if s.now.Sub(h.born) < listLag && h.boot == 1 && s.now.Sub(s.start()) > listLag {
			continue
		}
		if h.dead && s.now.Sub(h.died) > listLag {
			continue
		}
		state := model.HostLive
		if h.leaving {
			state = model.HostLeaving
		}
		out = append(out, model.Host{
			ID: h.id, Role: model.RoleScheduler, State: state,
			DataCentre: model.DataCentre(h.region), Region: h.region,
		})
	}
	return out
}

func (s *Sim) start() time.Time { return s.hosts[0].firstBorn }
