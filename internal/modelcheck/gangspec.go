package modelcheck

// The size of the gang specification: one gang of two members, each on a worker
// of its own, a coordinator and its successor.
const (
	members = 2
	// leaseTicks is a lease's time to live.
	leaseTicks = 2
	// aloneTicks bounds how long a member may run without its gang: the rest of
	// its lease.
	aloneTicks = leaseTicks
)

// GangVerb is what happens in a step of the gang specification, as the Verb of an
// Action.
const (
	GangGrant Verb = iota + 100
	GangStart
	GangRenew
	GangDie
	GangFence
	GangList
	GangStop
	GangDeliver
	GangAck
	GangRestart
	GangTick
)

var gangVerbNames = [...]string{
	"grant", "start", "renew", "die", "fence", "list", "stop", "deliver", "ack", "restart", "tick",
}

// berth is one worker's view of its member.
type berth struct {
	epoch uint8
	// granted and running are of the member's lease; left is its time to live.
	granted bool
	running bool
	left    uint8
	// barred says that the lease may never start again.
	barred bool
	// start says that a start is under way, which may come late and twice.
	start    bool
	oldStart bool
	// alone counts the ticks in which the member ran without the other.
	alone uint8
}

// GangState is a state of the gang specification.
type GangState struct {
	berth [members]berth
	// granted and sent have a bit for each member that the coordinator has a
	// lease for and has sent a start to.
	granted uint8
	sent    uint8
	// acked has a bit for each start that the coordinator had an answer to.
	acked uint8
	dead  bool
	// fenced and listed are the successor's; saw are the members it found running.
	fenced uint8
	listed uint8
	saw    uint8
	// early says that a member ran before every lease was granted.
	early    bool
	ticks    uint8
	restarts uint8
}

// Append encodes the state.
func (s GangState) Append(b []byte) []byte {
	for _, x := range s.berth {
		flags := b2u(x.granted) | b2u(x.running)<<1 | b2u(x.barred)<<2 | b2u(x.start)<<3 | b2u(x.oldStart)<<4
		b = append(b, x.epoch|x.left<<4, flags, x.alone)
	}
	b = append(b, s.granted|s.sent<<2|b2u(s.dead)<<4|b2u(s.early)<<5, s.fenced|s.listed<<2|s.saw<<4|s.acked<<6)
	return append(b, s.ticks, s.restarts)
}

// GangSpec is the specification of a gang's start and of its coordinator's death.
type GangSpec struct {
	Ticks    uint8
	Restarts uint8
	// OneByOne starts each member as soon as it has its lease.
	OneByOne bool
	// NoLease lets tasks run on when their lease lapses.
	NoLease bool
	// RenewHalf renews the leases of a gang that is only half started.
	RenewHalf bool
}

// First gives the state in which nothing is granted.
func (k GangSpec) First() GangState {
	var s GangState
	for i := range s.berth {
		s.berth[i].epoch = 1
	}
	return s
}

// Steps adds every way on.
func (k GangSpec) Steps(s GangState, out []Step[GangState]) []Step[GangState] {
	try := func(a Action) {
		if n := k.Do(s, a); n != s {
			out = append(out, Step[GangState]{a, n})
		}
	}
	try(Action{Verb: GangTick})
	try(Action{Verb: GangDie})
	for w := range uint8(members) {
		for v := GangGrant; v <= GangRestart; v++ {
			if v != GangDie {
				try(Action{Verb: v, Worker: w})
			}
		}
	}
	return out
}

// Do gives the state after an action; the same state when it can't happen.
func (k GangSpec) Do(s GangState, a Action) GangState {
	b, m := &s.berth[a.Worker], bit(a.Worker)
	first, all := b.epoch == 1, bit(members)-1
	switch a.Verb {
	case GangGrant:
		if !s.dead && first && !b.granted && !b.barred && s.sent&m == 0 {
			b.granted, b.left = true, leaseTicks
			s.granted |= m
		}
	case GangStart:
		if !s.dead && s.granted&m != 0 && (s.granted == all || k.OneByOne) {
			s.sent |= m
			b.start = true
		}
	case GangDeliver:
		k.deliver(&s, b)
	case GangAck:
		if !s.dead && b.running && b.epoch == 1 {
			s.acked |= m
		}
	case GangRenew:
		// A coordinator whose gang is half started lets its leases lapse.
		if !s.dead && first && b.granted && (s.whole() || k.RenewHalf) {
			b.left = leaseTicks
		}
	case GangDie:
		s.dead = true
	case GangFence:
		// A successor may come although the coordinator lives.
		b.epoch = 2
		s.fenced |= m
	case GangList:
		k.list(&s, b, m)
	case GangStop:
		if s.listed == all && s.saw != all && b.running {
			b.stop()
		}
	case GangRestart:
		if s.restarts < k.Restarts {
			s.restarts++
			*b = berth{oldStart: b.start || b.oldStart}
		}
	case GangTick:
		k.tick(&s)
	}
	return s
}

// whole says that no member was started, or that all were and none was lost.
func (s *GangState) whole() bool {
	if s.sent == 0 {
		return true
	}
	return s.acked == bit(members)-1 && s.berth[0].granted && s.berth[1].granted
}

func (b *berth) stop() { b.running, b.granted, b.left, b.barred = false, false, 0, true }

func (k GangSpec) deliver(s *GangState, b *berth) {
	if !b.start || !b.granted || b.barred || b.running || b.epoch > 1 {
		return
	}
	b.running = true
	s.early = s.early || s.granted != bit(members)-1
}

// list notes what runs, and bars what does not.
func (k GangSpec) list(s *GangState, b *berth, m uint8) {
	if s.fenced&m == 0 || b.epoch < 2 || s.listed&m != 0 {
		return
	}
	s.listed |= m
	if b.running {
		s.saw |= m
	} else {
		b.barred = true
	}
}

func (k GangSpec) tick(s *GangState) {
	if s.ticks == k.Ticks {
		return
	}
	s.ticks++
	for i := range s.berth {
		s.berth[i].tick(k.NoLease)
	}
	for i := range s.berth {
		b := &s.berth[i]
		if b.running && !s.berth[1-i].running {
			b.alone++
		} else {
			b.alone = 0
		}
	}
}

func (b *berth) tick(noLease bool) {
	if b.left > 0 {
		b.left--
	}
	if b.granted && b.left == 0 && !noLease {
		b.stop()
	}
}

// Check gives the invariant that is broken.
func (k GangSpec) Check(s GangState) string {
	for _, b := range s.berth {
		if b.alone > aloneTicks {
			return "a gang member ran on without its gang"
		}
	}
	if s.early {
		return "a gang member started before all had their leases"
	}
	return ""
}

// The traps of a gang.
const (
	TrapHalfStarted = "coordinator dies between the first and the last start"
	TrapUnrecorded  = "coordinator dies after the last start"
)

// Traps names the traps that a state is in.
func (k GangSpec) Traps(s GangState, hit func(string)) {
	if !s.dead {
		return
	}
	if s.sent != 0 && s.sent != bit(members)-1 && (s.berth[0].running || s.berth[1].running) {
		hit(TrapHalfStarted)
	}
	if s.berth[0].running && s.berth[1].running {
		hit(TrapUnrecorded)
	}
}
