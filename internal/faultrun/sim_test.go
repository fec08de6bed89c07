package faultrun

import (
	"testing"
	"time"

	"coltsfootmux/internal/model"
)

func (s *Sim) sendMany(n int, every time.Duration, idempotent bool) {
	for i := range n {
		s.after(time.Duration(i)*every, func() {
			e := s.entries[i%len(s.entries)]
			e.submit(model.Work{Key: s.newKey(), Account: "a", Idempotent: idempotent}, false)
		})
	}
}

func TestNothingIsLostWithoutFaultsNorWithOneDeath(t *testing.T) {
	s := New(Fleet{Hosts: 3, Workers: 24, Groups: 8, Regions: 1, Seed: 1})
	s.Run(10 * time.Second)
	s.sendMany(200, 20*time.Millisecond, false)
	s.Run(20 * time.Second)
	if r := s.Report(); r.Done != 200 || r.Doubled != 0 {
		t.Errorf("without faults: %+v", r)
	}
	s.host("h1").kill()
	s.sendMany(200, 20*time.Millisecond, false)
	s.Run(20 * time.Second)
	if r := s.Report(); r.Done != 400 || r.Doubled != 0 {
		t.Errorf("after a death: %+v", r)
	}
}
