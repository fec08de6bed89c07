package modelcheck

// The size of the configuration specification.
const (
	peers       = 3
	peerQuorum  = peers/2 + 1
	lastVersion = 2
)

// The verbs of the configuration specification.
const (
	ConfigPublish ActionKind = iota + 200
	ConfigAppend
	ConfigRead
	ConfigPush
	ConfigDeliver
	ConfigReplaceHost
	ConfigReadyByLog
	ConfigQueryPeer
	ConfigReadyByPeers
	ConfigLogOutage
)

var configVerbNames = [...]string{
	"publish", "land", "read", "push", "deliver", "replace", "ready by log", "ask", "ready by peers", "log up or down",
}

// peer is one host.
type peer struct {
	version uint8
	ready   bool
	// heard has a bit for each peer asked since the start that was ready.
	heard uint8
	// pushed is the newest version under way to it, which may come late and twice.
	pushed uint8
	// floor is the version that was settled when the host started.
	floor uint8
}

// ConfigState is a state of the configuration specification.
type ConfigState struct {
	peer [peers]peer
	// head is the newest version on the log. flight has a bit for each base that
	// a record under way is based on.
	head   uint8
	flight uint8
	down   bool
	// settled is the newest version that a majority of peers had at once.
	settled  uint8
	fell     bool
	replaced uint8
}

// Append encodes the state.
func (s ConfigState) Append(b []byte) []byte {
	for _, p := range s.peer {
		b = append(b, p.version|b2u(p.ready)<<2|p.heard<<3|p.pushed<<6, p.floor)
	}
	return append(b, s.head|s.flight<<2|b2u(s.down)<<6|b2u(s.fell)<<7, s.settled|s.replaced<<4)
}

// ConfigSpec is the specification of configuration versions.
type ConfigSpec struct {
	// MaxReplacements bounds how many hosts are replaced.
	MaxReplacements uint8
	// TrustSinglePeer makes a host ready on the word of a single peer.
	TrustSinglePeer bool
	// AcceptOlder puts a pushed version in force though a higher one is.
	AcceptOlder bool
}

// First gives the state in which every peer has the version 0 in force.
func (k ConfigSpec) Initial() ConfigState {
	var s ConfigState
	for i := range s.peer {
		s.peer[i].ready = true
	}
	return s
}

// Steps adds every way on.
func (k ConfigSpec) Transitions(s ConfigState, out []Transition[ConfigState]) []Transition[ConfigState] {
	for v := ConfigPublish; v <= ConfigLogOutage; v++ {
		for h := range uint8(peers) {
			for e := range uint8(peers) {
				a := Action{Kind: v, Host: h, Epoch: e}
				if n := k.Do(s, a); n != s {
					out = append(out, Transition[ConfigState]{a, n})
				}
			}
		}
	}
	return out
}

// Do gives the state after an action. Epoch is the other peer, or the version
// that a record is based on.
func (k ConfigSpec) Do(s ConfigState, a Action) ConfigState {
	p, q := &s.peer[a.Host], &s.peer[a.Epoch]
	switch a.Kind {
	case ConfigPublish:
		if p.version < lastVersion {
			s.flight |= bit(p.version)
		}
	case ConfigAppend:
		// The first record on top of the current version wins; one on top of
		// another is a conflict.
		if !s.down && s.flight&bit(a.Epoch) != 0 && a.Epoch == s.head {
			s.head++
		}
	case ConfigRead:
		if !s.down {
			k.adopt(&s, p, s.head)
		}
	case ConfigPush:
		q.pushed = max(q.pushed, p.version)
	case ConfigDeliver:
		// A late copy of an older push may come as well.
		if a.Epoch <= p.pushed {
			k.adopt(&s, p, a.Epoch)
		}
	case ConfigReplaceHost:
		if s.replaced < k.MaxReplacements {
			s.replaced++
			*p = peer{floor: s.settled}
		}
	case ConfigReadyByLog:
		if !s.down && p.version == s.head {
			p.ready = true
		}
	case ConfigQueryPeer:
		if !p.ready && q.ready && a.Host != a.Epoch {
			p.heard |= bit(a.Epoch)
			k.adopt(&s, p, max(p.version, q.version))
		}
	case ConfigReadyByPeers:
		p.ready = p.ready || k.confirmed(p.heard)
	case ConfigLogOutage:
		s.down = !s.down
	}
	k.settle(&s)
	return s
}

func (k ConfigSpec) confirmed(heard uint8) bool {
	n := 0
	for i := range uint8(peers) {
		n += int(heard >> i & 1)
	}
	return n >= peerQuorum || (k.TrustSinglePeer && n > 0)
}

func (k ConfigSpec) adopt(s *ConfigState, p *peer, v uint8) {
	if v > p.version || k.AcceptOlder {
		s.fell = s.fell || v < p.version
		p.version = v
	}
}

func (k ConfigSpec) settle(s *ConfigState) {
	for v := s.settled + 1; v <= lastVersion; v++ {
		n := 0
		for i := range s.peer {
			if s.peer[i].ready && s.peer[i].version >= v {
				n++
			}
		}
		if n >= peerQuorum {
			s.settled = v
		}
	}
}

// Check gives the invariant that is broken.
func (k ConfigSpec) Check(s ConfigState) string {
	if s.fell {
		return "a host's configuration version fell"
	}
	for _, p := range s.peer {
		if p.ready && p.version < p.floor {
			return "a host became ready below a version settled before it started"
		}
	}
	return ""
}

// ScenarioColdStart is the trap of a configuration.
const ScenarioColdStart = "host starts while the log is down and a version is settled"

// Traps names the traps that a state is in.
func (k ConfigSpec) Scenarios(s ConfigState, hit func(string)) {
	for _, p := range s.peer {
		if s.down && !p.ready && s.settled > 0 {
			hit(ScenarioColdStart)
		}
	}
}
