package faultrun

import (
	"testing"
	"time"

	"github.com/anishathalye/porcupine"

	"coltsfootmux/internal/model"
)

// told is a caller's answer: the output of one operation on its key.
type told struct {
	outcome model.Outcome
	answer  string
}

// keyState is a key as one register: nothing, ran with an answer, or barred.
type keyState struct {
	ran    bool
	barred bool
	answer string
}

// keyModel says which answers one key may give, one after another. The input is
// the key. Unknown is always allowed and tells nothing.
var keyModel = porcupine.Model{
	Init: func() any { return keyState{} },
	Partition: func(h []porcupine.Operation) [][]porcupine.Operation {
		byKey := make(map[model.Key][]porcupine.Operation)
		var keys []model.Key
		for _, op := range h {
			k := op.Input.(model.Key)
			if byKey[k] == nil {
				keys = append(keys, k)
			}
			byKey[k] = append(byKey[k], op)
		}
		var out [][]porcupine.Operation
		for _, k := range keys {
			out = append(out, byKey[k])
		}
		return out
	},
	Step: func(state, _, output any) (bool, any) {
		s, o := state.(keyState), output.(told)
		switch o.outcome {
		case model.OutcomeDone:
			if s.barred || (s.ran && s.answer != o.answer) {
				return false, s
			}
			return true, keyState{ran: true, answer: o.answer}
		case model.OutcomeNotRun:
			return !s.ran, keyState{barred: true}
		}
		return true, s
	},
	Equal: func(a, b any) bool { return a == b },
}

func (s *Sim) history() []porcupine.Operation {
	var ops []porcupine.Operation
	for i, r := range s.requests {
		if r.work.Idempotent || r.result == nil {
			continue
		}
		ops = append(ops, porcupine.Operation{
			ClientId: i,
			Input:    r.work.Key,
			Call:     r.made.UnixNano(),
			Output:   told{r.result.Outcome, string(r.result.Answer)},
			Return:   r.ended.UnixNano(),
		})
	}
	return ops
}

// repeatSome submits open and answered requests once more, by other entry hosts.
func (s *Sim) repeatSome(every int) {
	for i, r := range s.requests {
		if i%every == 0 && !r.repeat {
			s.entries[(i+1)%len(s.entries)].submit(r.work, true)
		}
	}
}

func TestKeyedHistoriesAreLinearizable(t *testing.T) {
	cases := map[string]func(s *Sim){
		"an owner dies": func(s *Sim) { s.hosts[0].kill() },
		"an owner pauses past its holds": func(s *Sim) {
			s.hosts[0].paused = s.now.Add(6 * time.Second)
		},
		"an owner hands over": func(s *Sim) { s.hosts[0].drain() },
		"messages are lost, doubled and late": func(s *Sim) {
			s.net.faults = Faults{Lost: 0.03, Doubled: 0.1, Slow: 0.03}
			s.hosts[1].kill()
		},
	}
	for name, fail := range cases {
		t.Run(name, func(t *testing.T) {
			s := New(Fleet{Hosts: 4, Workers: 16, Groups: 4, Regions: 2, Seed: 11})
			s.Run(8 * time.Second)
			s.sendMany(200, 40*time.Millisecond, false)
			s.Run(3 * time.Second)
			fail(s)
			for range 8 {
				s.Run(time.Second)
				s.repeatSome(4)
			}
			s.Run(30 * time.Second)
			ops := s.history()
			if !porcupine.CheckOperations(keyModel, ops) {
				t.Errorf("%d operations are not linearizable: %+v", len(ops), s.Report())
			}
		})
	}
}

// TestTheHistoryCheckCanFail gives it histories that break the promise.
func TestTheHistoryCheckCanFail(t *testing.T) {
	op := func(call, ret int64, o told) porcupine.Operation {
		return porcupine.Operation{Input: model.Key("k"), Call: call, Return: ret, Output: o}
	}
	for name, h := range map[string][]porcupine.Operation{
		"two answers of one key": {
			op(0, 1, told{model.OutcomeDone, "run 1"}), op(2, 3, told{model.OutcomeDone, "run 2"}),
		},
		"run after not_run": {
			op(0, 1, told{model.OutcomeNotRun, ""}), op(2, 3, told{model.OutcomeDone, "run 1"}),
		},
	} {
		if porcupine.CheckOperations(keyModel, h) {
			t.Errorf("not found: %s", name)
		}
	}
}
