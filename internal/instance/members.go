package instance

import (
	"context"
	"log/slog"
	"slices"
	"sync"
	"time"

	"coltsfootmux/internal/core/budget"
	"coltsfootmux/internal/core/capacity"
	"coltsfootmux/internal/core/relay"
	"coltsfootmux/internal/core/term"
	"coltsfootmux/internal/core/witness"
	"coltsfootmux/internal/external"
)

const (
	// topicMembers holds a member record of each instance under its name.
	topicMembers external.Topic = "keyed.members"
	// membersInterval is how often the addresses are read; others don't need a new
	// instance at once.
	membersInterval = 8 * time.Second
	// membersStartDelay is the time to the second read, for instances that start together
	// and announce themselves after the first.
	membersStartDelay = time.Second
	// memberDemotion is how long an instance that did not answer is tried last.
	memberDemotion = 3 * time.Second
	// maxPeersPerCall bounds the peers that are tried for one call.
	maxPeersPerCall = 3
)

// memberRecord is the address of an instance, and how much later than others it claims
// a term.
type memberRecord struct {
	Addr       string        `cbor:"1,keyasint"`
	ClaimDelay time.Duration `cbor:"2,keyasint,omitempty"`
	// Region and Relay are empty in the records of versions without relays.
	Region string `cbor:"3,keyasint,omitempty"`
	Relay  bool   `cbor:"4,keyasint,omitempty"`
	// DataCentre is empty in the records of versions without witnesses.
	DataCentre string `cbor:"5,keyasint,omitempty"`
	// CellMemory is how many bytes the jobs of a cell may take on the machine, 0 if it sets no
	// limit or the version of the record has none.
	CellMemory budget.Limit `cbor:"6,keyasint,omitempty"`
	// Machine is what the instance may use of its machine; not known in records of versions without it.
	Machine capacity.Machine `cbor:"8,keyasint,omitzero"`
	// ReadsIntervals says that the version of the instance reads job.Progress.Ended.
	ReadsIntervals bool `cbor:"7,keyasint,omitempty"`
}

// members holds the addresses of other instances, from the settings and the store.
type members struct {
	mu sync.Mutex
	// addrs are all known addresses, in a fixed order that differs between instances.
	addrs []string
	// strongAddrs are those of strong instances, which claim a term without a delay.
	strongAddrs map[string]bool
	// fleet holds the machines of the records.
	fleet capacity.Fleet
	// forRelays are the members whose records have been read, see package relay.
	forRelays []relay.Member
	// forWitnesses are the instances that may become witnesses, see package witness.
	forWitnesses []witness.Candidate
	// lastFailure is the boot time at which an instance last failed to answer, by address.
	lastFailure map[string]time.Duration
}

// set replaces the addresses by those of the records and of fixed; own is left out. It reports
// whether others are known now.
func (m *members) set(records []memberRecord, fixed []string, own string) (changed bool) {
	addrs, strong, forRelays := slices.Clone(fixed), make(map[string]bool), []relay.Member(nil)
	dataCentres, fleet := make(map[string]string), fleetOf(records)
	for _, r := range records {
		dataCentres[r.Addr] = r.DataCentre
		addrs = append(addrs, r.Addr)
		strong[r.Addr] = r.isStrong(fleet)
		forRelays = append(forRelays, relay.Member{Addr: r.Addr, Region: r.Region, Capable: r.Relay})
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.strongAddrs, m.forRelays, m.fleet = strong, forRelays, fleet
	slices.Sort(addrs)
	addrs = slices.Compact(addrs)
	at, _ := slices.BinarySearch(addrs, own)
	m.addrs = append(slices.Clone(addrs[at:]), addrs[:at]...)
	m.addrs = slices.DeleteFunc(m.addrs, func(a string) bool { return a == own })
	var candidates []witness.Candidate
	for _, a := range m.addrs {
		candidates = append(candidates, witness.Candidate{Addr: a, DataCentre: dataCentres[a], Strong: strong[a]})
	}
	changed = !slices.Equal(candidates, m.forWitnesses)
	m.forWitnesses = candidates
	return changed
}

// fleetOf returns the fleet of the records' machines.
func fleetOf(records []memberRecord) capacity.Fleet {
	var machines []capacity.Machine
	for _, r := range records {
		machines = append(machines, r.Machine)
	}
	return capacity.NewFleet(machines)
}

// isStrong reports whether the instance claims a term without a delay.
func (r *memberRecord) isStrong(f capacity.Fleet) bool {
	if rank := f.Rank(r.Machine); rank.Known() {
		return rank.ClaimDelay() == 0
	}
	return r.ClaimDelay == 0
}

// rank returns the rank of a machine among those of the records.
func (m *members) rank(of capacity.Machine) capacity.Rank {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.fleet.Rank(of)
}

// witnessCandidates returns the addresses of the instances that an owner in the given data centre
// may name as witnesses, in the order of preference, and last those that failed to answer recently.
func (m *members) witnessCandidates(now time.Duration, ownDataCentre string) []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	var addrs []string
	for _, c := range witness.Rank(ownDataCentre, m.forWitnesses) {
		addrs = append(addrs, c.Addr)
	}
	return m.ordered(now, "", addrs)
}

// relayPlan returns where an instance gets the policy from.
func (m *members) relayPlan(self relay.Member) relay.Plan {
	m.mu.Lock()
	defer m.mu.Unlock()
	return relay.Choose(self, m.forRelays)
}

// candidates returns some addresses to try: preferred first, and last those that failed
// to answer recently.
func (m *members) candidates(now time.Duration, preferred string) []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.firstFew(now, preferred, m.addrs)
}

// inTurn returns the same number of addresses: preferred first, and others that change with
// turn, so that all instances are asked in the end.
func (m *members) inTurn(now time.Duration, preferred string, turn int) []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	if len(m.addrs) == 0 {
		return m.firstFew(now, preferred, nil)
	}
	at := turn * (maxPeersPerCall - 1) % len(m.addrs)
	return m.firstFew(now, preferred, slices.Concat(m.addrs[at:], m.addrs[:at]))
}

func (m *members) firstFew(now time.Duration, preferred string, addrs []string) []string {
	all := m.ordered(now, preferred, addrs)
	return all[:min(len(all), maxPeersPerCall)]
}

// strong returns some addresses of strong instances, last those that failed to answer
// recently.
func (m *members) strong(now time.Duration, limit int) []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	var addrs []string
	for _, a := range m.addrs {
		if m.strongAddrs[a] {
			addrs = append(addrs, a)
		}
	}
	all := m.ordered(now, "", addrs)
	return all[:min(len(all), limit)]
}

// responsiveFirst returns addrs with those that failed to answer recently at the end.
func (m *members) responsiveFirst(now time.Duration, addrs []string) []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.ordered(now, "", addrs)
}

// ordered puts preferred first and those that failed to answer recently last. Preferred
// need not be among addrs, which may be out of date.
func (m *members) ordered(now time.Duration, preferred string, addrs []string) []string {
	if preferred != "" && !slices.Contains(addrs, preferred) {
		addrs = slices.Concat([]string{preferred}, addrs)
	}
	var responsive, unresponsive []string
	for _, a := range addrs {
		switch failedAt, ok := m.lastFailure[a]; {
		case ok && now-failedAt < memberDemotion:
			unresponsive = append(unresponsive, a)
		case a == preferred:
			responsive = slices.Insert(responsive, 0, a)
		default:
			responsive = append(responsive, a)
		}
	}
	return append(responsive, unresponsive...)
}

// failedLately reports whether an instance failed to answer recently.
func (m *members) failedLately(now time.Duration, addr string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	failedAt, ok := m.lastFailure[addr]
	return ok && now-failedAt < memberDemotion
}

// recordAnswer records whether an instance answered.
func (m *members) recordAnswer(addr string, ok bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if ok {
		delete(m.lastFailure, addr)
		return
	}
	m.lastFailure[addr] = boottime()
}

// recordPeerAnswer records whether an instance answered a call. A failed call that its
// caller had given up says nothing about the instance.
func (i *Instance) recordPeerAnswer(ctx context.Context, addr string, err error) {
	if err == nil || ctx.Err() == nil {
		i.members.recordAnswer(addr, err == nil)
	}
}

// followMembers announces this instance and keeps the addresses of the others up to date.
func (i *Instance) followMembers(ctx context.Context) {
	retry := backoff{min: readRetryDelay, max: maxRetryDelay}
	for ctx.Err() == nil {
		i.readMembers(ctx)
		err := i.announce(ctx)
		if err == nil {
			break
		}
		sleep(ctx, retry.delayAfter(err))
	}
	for delay := membersStartDelay; ctx.Err() == nil; delay = membersInterval {
		sleep(ctx, delay)
		i.readMembers(ctx)
	}
}

func (i *Instance) announce(ctx context.Context) error {
	value, err := encodeRecord(memberRecord{
		Addr: i.Settings.LinkAddr, ClaimDelay: i.Settings.Term.ClaimDelay, Region: i.Settings.Region, Relay: i.Settings.Relay,
		DataCentre: i.Settings.Zone, CellMemory: i.Settings.Cell.Memory, ReadsIntervals: true, Machine: i.Settings.Machine,
	})
	if err == nil {
		_, err = i.store.Append(ctx, external.Append{
			Topic: topicMembers, Records: []external.Record{{Key: i.Settings.Name, Value: value}},
		})
	}
	if err != nil {
		evMembersFailed.Log(ctx, i.logger, slog.String("call", "announce"), slog.Any("error", err))
	}
	return err
}

func (i *Instance) readMembers(ctx context.Context) {
	ctx, cancel := withStallLimit(ctx, readWait, readTimeout, nil)
	defer cancel()
	p, err := i.store.Newest(ctx, topicMembers)
	if err != nil {
		evMembersFailed.Log(ctx, i.logger, slog.String("call", "read"), slog.Any("error", err))
		return
	}
	var records []memberRecord
	for _, r := range p.Records {
		var m memberRecord
		if err := decodeRecord(r.Value, &m); err != nil {
			evRecordInvalid.Log(ctx, i.logger, slog.String("topic", string(topicMembers)), slog.String("key", r.Key), slog.Any("error", err))
			continue
		}
		records = append(records, m)
	}
	if i.members.set(records, i.Settings.Peers, i.Settings.LinkAddr) {
		i.stepTerm(term.MembersChanged{})
	}
	i.rankMachine()
	i.setCellLimit(records)
	i.readsIntervals.Store(len(records) > 0 && !slices.ContainsFunc(records, func(r memberRecord) bool { return !r.ReadsIntervals }))
	i.membersReadOnce.Do(func() { close(i.membersRead) })
}

// rankMachine passes the rank of this machine to the term's core if it has changed. One that has not
// announced itself yet is ranked among the others by the next read.
func (i *Instance) rankMachine() {
	rank := i.members.rank(i.Settings.Machine)
	if !rank.Known() || i.rank.Swap(int64(rank)) == int64(rank) {
		return
	}
	i.stepTerm(term.Ranked{Rank: rank})
	evRanked.Log(i.ctx, i.logger, slog.Int64("rank", int64(rank)), slog.Duration("claim_delay", rank.ClaimDelay()))
}

// peers returns the addresses of other instances to try, the cell's owner first.
func (i *Instance) peers() []string {
	return i.members.candidates(boottime(), i.ownerAddr())
}

// ownerAddr returns the address of the cell's owner, or an empty string if the owner is not
// known or this instance.
func (i *Instance) ownerAddr() string {
	if rec, ok := i.ownerRecord(); ok && rec.Addr != i.Settings.LinkAddr {
		return rec.Addr
	}
	return ""
}
