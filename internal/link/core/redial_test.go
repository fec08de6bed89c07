package core_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"coltsfootmux/internal/link/core"
)

// dialsOfSilentPeer returns the times at which a process that always has a call to make dials a peer whose
// links open and are silent.
func dialsOfSilentPeer(r *core.Redial, rnd *rand.Rand, until time.Duration) (dials []time.Time) {
	for now := startTime; now.Sub(startTime) < until; now = now.Add(10 * time.Millisecond) {
		if !r.MayDial(now) {
			continue
		}
		dials = append(dials, now)
		r.Opened()
		now = now.Add(core.DefaultLimits().SilenceTimeout)
		r.Ended(now, core.LinkEnd{Faulty: true}, rnd.Float64())
	}
	return dials
}

func TestSilentPeerIsDialledEverLessOften(t *testing.T) {
	r := core.NewRedial(core.DefaultLimits())
	dials := dialsOfSilentPeer(&r, rand.New(rand.NewPCG(1, 0)), time.Minute)
	if n := len(dials); n < 8 || n > 12 {
		t.Errorf("%d dials in a minute, want about one in 6 s", n)
	}
	silence := core.DefaultLimits().SilenceTimeout
	if wait := dials[1].Sub(dials[0]) - silence; wait > 10*time.Millisecond {
		t.Errorf("the first redial came after %v, want none", wait)
	}
	if wait := dials[2].Sub(dials[1]) - silence; wait < 125*time.Millisecond || wait > 260*time.Millisecond {
		t.Errorf("the second redial came after %v, want about 0.2 s", wait)
	}
}

// TestPeerThatWorksAgainIsDialledInTime bounds the time for which a peer is not dialled, however long it
// was silent.
func TestPeerThatWorksAgainIsDialledInTime(t *testing.T) {
	limits := core.DefaultLimits()
	for seed := range uint64(50) {
		r := core.NewRedial(limits)
		rnd := rand.New(rand.NewPCG(seed, 0))
		dialsOfSilentPeer(&r, rnd, time.Hour)
		r.DialFailed(startTime.Add(time.Hour), rnd.Float64())
		r.Ended(startTime.Add(time.Hour), core.LinkEnd{Faulty: true}, rnd.Float64())
		if !r.MayDial(startTime.Add(time.Hour + limits.MaxRedialWait)) {
			t.Fatalf("seed %d: not dialled within %v", seed, limits.MaxRedialWait)
		}
	}
}

func TestEndsOfLinksAfterWhichThePeerIsDialledAtOnce(t *testing.T) {
	for name, c := range map[string]struct {
		end   core.LinkEnd
		waits bool
	}{
		"silent from the begin":                   {core.LinkEnd{Faulty: true}, true},
		"silent after less than a while":          {core.LinkEnd{Faulty: true, Worked: time.Second}, true},
		"silent after it worked for a while":      {core.LinkEnd{Faulty: true, Worked: 3 * time.Second}, false},
		"closed by the peer without a frame":      {core.LinkEnd{}, true},
		"closed by the peer after a short life":   {core.LinkEnd{Worked: time.Second}, false},
		"closed as idle, or as the peer drains":   {core.LinkEnd{Orderly: true}, false},
		"closed as idle after it worked for long": {core.LinkEnd{Orderly: true, Worked: time.Hour}, false},
	} {
		r := core.NewRedial(core.DefaultLimits())
		r.Ended(startTime, core.LinkEnd{Faulty: true}, 0.5)
		r.Ended(startTime, c.end, 0.5)
		if got := !r.MayDial(startTime); got != c.waits {
			t.Errorf("%s: waits %v, want %v", name, got, c.waits)
		}
	}
}

// TestLinkThatWorkedEndsTheWaits guards against waits that stay long after the peer has recovered.
func TestLinkThatWorkedEndsTheWaits(t *testing.T) {
	r := core.NewRedial(core.DefaultLimits())
	dialsOfSilentPeer(&r, rand.New(rand.NewPCG(1, 0)), time.Minute)
	now := startTime.Add(time.Hour)
	r.Opened()
	r.Ended(now, core.LinkEnd{Faulty: true, Worked: time.Minute}, 1)
	if !r.MayDial(now) {
		t.Error("waits after a link that worked")
	}
	r.Ended(now, core.LinkEnd{Faulty: true}, 1)
	if !r.MayDial(now) {
		t.Error("waits after the first silent link that follows one that worked")
	}
}

// TestShortLinksOfAPeerThatStopsInSeriesKeepTheWaits guards against a peer that answers for some hundred
// milliseconds between its stops, and is dialled at once for each of them.
func TestShortLinksOfAPeerThatStopsInSeriesKeepTheWaits(t *testing.T) {
	r := core.NewRedial(core.DefaultLimits())
	dialsOfSilentPeer(&r, rand.New(rand.NewPCG(1, 0)), time.Minute)
	now := startTime.Add(time.Hour)
	r.Opened()
	r.Ended(now, core.LinkEnd{Worked: time.Second}, 1) // reset by the peer
	r.Opened()
	r.Ended(now, core.LinkEnd{Faulty: true, Worked: 300 * time.Millisecond}, 1)
	if r.MayDial(now.Add(3 * time.Second)) {
		t.Error("dialled again within 3 s")
	}
}

func TestFailedDialsWaitUpToTwoSeconds(t *testing.T) {
	r := core.NewRedial(core.DefaultLimits())
	now := startTime
	for n := range 20 {
		r.DialFailed(now, 1)
		if r.MayDial(now.Add(24 * time.Millisecond)) {
			t.Fatalf("dial %d follows at once", n)
		}
		now = now.Add(2025 * time.Millisecond)
		if !r.MayDial(now) {
			t.Fatalf("dial %d waits for more than 2 s", n)
		}
	}
	if !r.Failing() {
		t.Error("not seen as failing")
	}
	r.Opened()
	if r.Failing() {
		t.Error("seen as failing after an open link")
	}
}
