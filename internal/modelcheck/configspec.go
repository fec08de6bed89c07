package modelcheck

// The size of the configuration specification.
const (
	peers        = 3
	peerMajority = peers/2 + 1
	lastVersion  = 2
)

// The actions of the configuration specification.
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

var configActionNames = [...]string{
	"publish", "append", "read", "push", "deliver", "replace host", "ready by log", "query peer", "ready by peers", "log outage begins or ends",
}

// peerState is the state of one host.
type peerState struct {
	version uint8
	ready   bool
	// readyPeers is a bit set of the ready peers that have answered since the host
	// started.
	readyPeers uint8
	// newestPush is the newest version that was pushed to the host. Pushes may
	// arrive late and more than once.
	newestPush uint8
	// minVersion is the majority version at the time when the host started.
	minVersion uint8
}

// ConfigState is a state of the configuration specification.
type ConfigState struct {
	peer [peers]peerState
	// logVersion is the newest version in the log. inFlight is a bit set of the
	// versions on which records that are being appended are based.
	logVersion uint8
	inFlight   uint8
	logDown    bool
	// majorityVersion is the newest version that a majority of ready peers had at
	// the same time.
	majorityVersion uint8
	decreased       bool
	replacements    uint8
}

// Append appends the encoded state.
func (s ConfigState) Append(b []byte) []byte {
	for _, p := range s.peer {
		b = append(b, p.version|b2u(p.ready)<<2|p.readyPeers<<3|p.newestPush<<6, p.minVersion)
	}
	return append(b, s.logVersion|s.inFlight<<2|b2u(s.logDown)<<6|b2u(s.decreased)<<7, s.majorityVersion|s.replacements<<4)
}

// ConfigSpec is the specification of configuration versions.
type ConfigSpec struct {
	// MaxReplacements bounds how many hosts are replaced.
	MaxReplacements uint8
	// TrustSinglePeer makes a host ready after the answer of a single peer.
	TrustSinglePeer bool
	// AcceptOlder applies a received version even if a higher one is in force.
	AcceptOlder bool
}

// Initial returns the state in which version 0 is in force on every peer.
func (k ConfigSpec) Initial() ConfigState {
	var s ConfigState
	for i := range s.peer {
		s.peer[i].ready = true
	}
	return s
}

// Transitions appends all transitions that change the state.
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

// Do returns the state after an action, which is the same state if the action is not
// possible. Epoch is the other peer, or the version on which a record is based, or
// the version delivered.
func (k ConfigSpec) Do(s ConfigState, a Action) ConfigState {
	p, q := &s.peer[a.Host], &s.peer[a.Epoch]
	switch a.Kind {
	case ConfigPublish:
		if p.version < lastVersion {
			s.inFlight |= bit(p.version)
		}
	case ConfigAppend:
		// The first record based on the current version is accepted; one based on
		// another version is a conflict.
		if !s.logDown && s.inFlight&bit(a.Epoch) != 0 && a.Epoch == s.logVersion {
			s.logVersion++
		}
	case ConfigRead:
		if !s.logDown {
			k.adopt(&s, p, s.logVersion)
		}
	case ConfigPush:
		q.newestPush = max(q.newestPush, p.version)
	case ConfigDeliver:
		// A delayed copy of an older push may arrive as well.
		if a.Epoch <= p.newestPush {
			k.adopt(&s, p, a.Epoch)
		}
	case ConfigReplaceHost:
		if s.replacements < k.MaxReplacements {
			s.replacements++
			*p = peerState{minVersion: s.majorityVersion}
		}
	case ConfigReadyByLog:
		if !s.logDown && p.version == s.logVersion {
			p.ready = true
		}
	case ConfigQueryPeer:
		if !p.ready && q.ready && a.Host != a.Epoch {
			p.readyPeers |= bit(a.Epoch)
			k.adopt(&s, p, max(p.version, q.version))
		}
	case ConfigReadyByPeers:
		p.ready = p.ready || k.mayBecomeReady(p.readyPeers)
	case ConfigLogOutage:
		s.logDown = !s.logDown
	}
	k.updateMajorityVersion(&s)
	return s
}

func (k ConfigSpec) mayBecomeReady(readyPeers uint8) bool {
	n := 0
	for i := range uint8(peers) {
		n += int(readyPeers >> i & 1)
	}
	return n >= peerMajority || (k.TrustSinglePeer && n > 0)
}

func (k ConfigSpec) adopt(s *ConfigState, p *peerState, v uint8) {
	if v > p.version || k.AcceptOlder {
		s.decreased = s.decreased || v < p.version
		p.version = v
	}
}

func (k ConfigSpec) updateMajorityVersion(s *ConfigState) {
	for v := s.majorityVersion + 1; v <= lastVersion; v++ {
		n := 0
		for i := range s.peer {
			if s.peer[i].ready && s.peer[i].version >= v {
				n++
			}
		}
		if n >= peerMajority {
			s.majorityVersion = v
		}
	}
}

// Check returns the invariant that the state violates, or "".
func (k ConfigSpec) Check(s ConfigState) string {
	if s.decreased {
		return "a host's configuration version decreased"
	}
	for _, p := range s.peer {
		if p.ready && p.version < p.minVersion {
			return "a host became ready with a lower version than a majority had before it started"
		}
	}
	return ""
}

// ScenarioColdStart is the scenario that an exploration must reach.
const ScenarioColdStart = "host starts while the log is down and a majority has a version above 0"

// Scenarios reports the scenarios that a state is in.
func (k ConfigSpec) Scenarios(s ConfigState, report func(string)) {
	for _, p := range s.peer {
		if s.logDown && !p.ready && s.majorityVersion > 0 {
			report(ScenarioColdStart)
		}
	}
}
