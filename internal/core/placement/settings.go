package placement

import (
	"reflect"
	"time"

	"coltsfootmux/internal/config"
	"coltsfootmux/internal/core/entitlement"
	"coltsfootmux/internal/model"
)

const (
	defaultLongestWait = 30 * time.Second
	defaultLargeWait   = 10 * time.Second
	defaultCheckpoint  = 5 * time.Second
	defaultReclaim     = 10 * time.Second
	defaultLeaseTTL    = 5 * time.Second
	defaultQueueBound  = 10000
	defaultMaxAttempts = 3
)

// settings are the values in force, worked out from one configuration.
type settings struct {
	def        config.Defaults
	accounts   map[model.Account]config.Account
	exceptions []config.Exception
	dcRegion   map[model.DataCentre]model.Region
	cells      map[model.CellID]model.Cell
	cellOrder  []model.CellID
	plan       *entitlement.Plan
	basis      planBasis
	known      bool
}

func defaultSettings() settings {
	return settings{
		def: config.Defaults{
			LongestWait:      config.Duration(defaultLongestWait),
			LargeWait:        config.Duration(defaultLargeWait),
			CheckpointWithin: config.Duration(defaultCheckpoint),
			ReclaimWithin:    config.Duration(defaultReclaim),
			LeaseTTL:         config.Duration(defaultLeaseTTL),
			QueueBound:       defaultQueueBound,
			MaxAttempts:      defaultMaxAttempts,
		},
		plan: entitlement.Empty(),
	}
}

// newSettings works out the values in force. The plan of before is kept when
// nothing that it depends on has changed.
func newSettings(d *config.Document, now time.Time, before *settings) settings {
	s := settings{
		def:      d.Defaults,
		accounts: make(map[model.Account]config.Account, len(d.Accounts)),
		dcRegion: make(map[model.DataCentre]model.Region, len(d.Fleet.DataCentres)),
		cells:    make(map[model.CellID]model.Cell, len(d.Fleet.Cells)),
		known:    true,
	}
	for _, a := range d.Accounts {
		s.accounts[a.Name] = a
	}
	for _, dc := range d.Fleet.DataCentres {
		s.dcRegion[dc.Name] = dc.Region
	}
	for _, cl := range d.Fleet.Cells {
		s.cells[cl.ID] = cl
		s.cellOrder = append(s.cellOrder, cl.ID)
	}
	for _, x := range d.Exceptions {
		if x.Expires.IsZero() || x.Expires.After(now) {
			s.exceptions = append(s.exceptions, x)
		}
	}
	s.basis = basisOf(d, s.exceptions)
	if before.known && reflect.DeepEqual(s.basis, before.basis) {
		s.plan = before.plan
		return s
	}
	s.plan = entitlement.Make(d, func(cell model.CellID, w model.WorkerID) bool {
		return !s.drained(cell, w)
	})
	return s
}

// drained reports whether an exception keeps new work off a worker.
func (s *settings) drained(cell model.CellID, w model.WorkerID) bool {
	for _, x := range s.exceptions {
		if x.Drain == nil || !*x.Drain || (x.Cell == "" && x.Worker == "") {
			continue
		}
		if (x.Cell == "" || x.Cell == cell) && (x.Worker == "" || x.Worker == w) {
			return true
		}
	}
	return false
}

func matches(x *config.Exception, a model.Account, k model.Kind) bool {
	if x.Cell != "" || x.Worker != "" {
		return false
	}
	return (x.Account == "" || x.Account == a) && (x.Kind == "" || x.Kind == k)
}

func (s *settings) longestWait(a model.Account, k model.Kind) time.Duration {
	wait := s.def.LongestWait.D()
	if acc := s.accounts[a]; acc.LongestWait > 0 {
		wait = acc.LongestWait.D()
	}
	for i := range s.exceptions {
		x := &s.exceptions[i]
		if x.LongestWait != nil && matches(x, a, k) {
			wait = x.LongestWait.D()
		}
	}
	return wait
}

func (s *settings) queueBound(a model.Account, k model.Kind) int {
	n := s.def.QueueBound
	if acc := s.accounts[a]; acc.QueueBound > 0 {
		n = acc.QueueBound
	}
	for i := range s.exceptions {
		x := &s.exceptions[i]
		if x.QueueBound != nil && matches(x, a, k) {
			n = *x.QueueBound
		}
	}
	return n
}

func (s *settings) class(w *model.Work) model.Class {
	class := w.Class
	for i := range s.exceptions {
		x := &s.exceptions[i]
		if x.Class == nil || !matches(x, w.Account, w.Kind) {
			continue
		}
		if forced, ok := model.ParseClass(*x.Class); ok {
			class = forced
		}
	}
	return class
}

// allows reports whether an account's work may run in a data centre.
func (s *settings) allows(a model.Account, dc model.DataCentre) bool {
	limits := s.accounts[a].DataCentres
	if len(limits) == 0 {
		return true
	}
	for _, l := range limits {
		if l == dc {
			return true
		}
	}
	return false
}

func (s *settings) maxAttempts() int { return max(1, s.def.MaxAttempts) }
