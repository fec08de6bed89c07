package scenario_test

import (
	"context"
	"errors"
	"fmt"
	"time"

	"coltsfootmux/internal/model"
	"coltsfootmux/internal/platform"
	"coltsfootmux/internal/standin/worker"
)

// answerBytes is the size of every task's answer in the scripts.
const answerBytes = 1000

var callCommands = []command{
	{"start", "start HOST WORKER LEASE KEY [run=1s] [epoch=16] [ttl=10s] [group=N] [groupepoch=16] [within=0] [bound=false]", "starts a task with its grant; bound to the incarnation that the host fenced", start},
	{"ending", "ending HOST WORKER LEASE [within=1h]", "waits for a task's ending and checks its answer", ending},
	{"renew", "renew HOST WORKER [epoch=16] [ttl=10s]", "renews the leases of the cell", renew},
	{"release", "release HOST WORKER LEASE [epoch=16] [only=false]", "releases a lease; with only=true if it is unstarted", release},
	{"list", "list HOST WORKER [epoch=16]", "lists the leases and endings of the cell", list},
	{"fence", "fence HOST WORKER cell|GROUP EPOCH", "raises the epoch of the cell or of a key group", fence},
	{"hold", "hold HOST WORKER GROUP EPOCH [echo=new|last|first] [ttl=3s]", "asks for a hold or renews it, by the last number or an old one", hold},
}

const cellName = model.CellID("r1")

// errorNames gives the word by which scripts know an error.
var errorNames = []struct {
	err  error
	name string
}{
	{platform.ErrStaleEpoch, "stale"},
	{platform.ErrRefused, "refused"},
	{platform.ErrNotSent, "not sent"},
	{platform.ErrUnclear, "unclear"},
	{platform.ErrUnavailable, "unavailable"},
	{platform.ErrNotFound, "not found"},
}

// result writes what became of a call: the line if it went well.
func result(a *args, err error, format string, values ...any) error {
	if err == nil {
		return outcomeLine(a, format, values...)
	}
	for _, e := range errorNames {
		if errors.Is(err, e.err) {
			return outcomeLine(a, "%s", e.name)
		}
	}
	return err
}

func offsetOf(n uint64) model.Offset { return model.Offset(n) }

func start(w *world, a *args) error {
	hostName, workerName := a.word("host"), a.word("worker")
	c := w.worker(hostName, workerName)
	lease, key := model.LeaseID(a.word("lease")), model.Key(a.word("key"))
	epoch := model.Epoch(a.optNumber("epoch", 16))
	group := a.option("group", "")
	s := platform.Start{
		Lease: lease, Cell: cellName, Epoch: epoch,
		Grant: &platform.Grant{
			Lease: lease, Cell: cellName, Epoch: epoch,
			TTL:   a.optDuration("ttl", 10*time.Second),
			Shape: model.Shape{Slots: 1, Accelerators: 1},
			Label: platform.Label{Key: key, Members: 1},
		},
		GroupEpoch: model.Epoch(a.optNumber("groupepoch", 16)),
		Within:     a.optDuration("within", 0),
		Body:       worker.Spec{RunMS: a.optDuration("run", time.Second).Milliseconds(), AnswerBytes: answerBytes}.Encode(),
	}
	if a.option("bound", "false") == "true" {
		s.Incarnation = w.fenced[hostName+workerName]
	}
	if group != "" {
		_, err := fmt.Sscan(group, &s.Group)
		a.check(err)
		s.Keyed, s.Grant.Label.Group = true, s.Group
	}
	if a.err != nil {
		return a.err
	}
	return result(a, c.Start(w.ctx, s), "started")
}

func ending(w *world, a *args) error {
	c, lease := w.worker(a.word("host"), a.word("worker")), model.LeaseID(a.word("lease"))
	ctx, cancel := context.WithTimeout(w.ctx, a.optDuration("within", time.Hour))
	defer cancel()
	e, err := c.Wait(ctx, lease)
	whole := string(e.Answer) == string(worker.ExpectedAnswer(e.Label.Key, e.Label.Member, answerBytes))
	return result(a, err, "%s after %v, answer whole %v", e.State, e.Ran, whole)
}

func renew(w *world, a *args) error {
	c := w.worker(a.word("host"), a.word("worker"))
	r, err := c.Renew(w.ctx, platform.Renew{
		Cell:  cellName,
		Epoch: model.Epoch(a.optNumber("epoch", 16)),
		TTL:   a.optDuration("ttl", 10*time.Second),
	})
	return result(a, err, "leases %d, ended %d", len(r.Leases), len(r.Ended))
}

func release(w *world, a *args) error {
	c, lease := w.worker(a.word("host"), a.word("worker")), model.LeaseID(a.word("lease"))
	r, err := c.Release(w.ctx, platform.Release{
		Lease: lease, Scope: model.CellScope(cellName),
		Epoch:         model.Epoch(a.optNumber("epoch", 16)),
		OnlyUnstarted: a.option("only", "false") == "true",
	})
	return result(a, err, "started %v, running %v, memory %v", r.Started, r.Running, r.Since)
}

func list(w *world, a *args) error {
	c := w.worker(a.word("host"), a.word("worker"))
	l, err := c.List(w.ctx, model.CellScope(cellName))
	return result(a, err, "leases %d, ended %d, memory %v", len(l.Leases), len(l.Ended), l.EndedSince)
}

func fence(w *world, a *args) error {
	hostName, workerName := a.word("host"), a.word("worker")
	c, scope := w.worker(hostName, workerName), a.word("scope")
	f := platform.Fence{Scope: model.CellScope(cellName), Epoch: model.Epoch(a.number("epoch"))}
	if scope != "cell" {
		f.Scope = model.Scope{Kind: model.ScopeGroup, Name: scope}
	}
	fenced, err := c.Fence(w.ctx, f)
	w.fenced[hostName+workerName] = fenced.Incarnation
	return result(a, err, "fenced")
}

func hold(w *world, a *args) error {
	hostName, workerName := a.word("host"), a.word("worker")
	group, epoch := a.number("group"), a.number("epoch")
	who := fmt.Sprint(hostName, workerName, group)
	h := platform.Hold{
		Group: model.GroupID(group), Epoch: model.Epoch(epoch),
		TTL: a.optDuration("ttl", 3*time.Second),
	}
	echoes := w.echoes[who]
	switch echo := a.option("echo", "new"); {
	case echo == "new":
	case len(echoes) == 0:
		return errors.New("no hold was given yet")
	case echo == "last":
		h.Echo = echoes[len(echoes)-1]
	case echo == "first":
		h.Echo = echoes[0]
	default:
		return fmt.Errorf("unknown echo %q", echo)
	}
	held, err := w.worker(hostName, workerName).Hold(w.ctx, []platform.Hold{h})
	if err != nil {
		return result(a, err, "")
	}
	if held[0].Refused {
		return outcomeLine(a, "refused, highest epoch %d", held[0].Highest)
	}
	w.echoes[who] = append(echoes, held[0].Echo)
	return outcomeLine(a, "held")
}
