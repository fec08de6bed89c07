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

func TestQuietRun(t *testing.T) {
	s := New(Fleet{Hosts: 3, Workers: 24, Groups: 8, Regions: 1, Seed: 1})
	s.Run(10 * time.Second)
	s.sendMany(200, 20*time.Millisecond, false)
	s.Run(20 * time.Second)
	r := s.Report()
	t.Logf("%+v", r)
	t.Logf("%v", s.net.sent)
	if r.Done != 200 || r.Doubled+r.Lost+r.Untrue != 0 {
		t.Errorf("%+v", r)
	}
	s.host("h1").kill()
	from := s.now
	owned := s.host("h1").owned()
	s.sendMany(200, 20*time.Millisecond, false)
	s.Run(20 * time.Second)
	t.Logf("%+v %v", s.Report(), s.takeovers(owned, from))
}
