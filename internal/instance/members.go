package instance

import (
 "context"
 "log/slog"
 "slices"
 "sync"
 "time"

 "coltsfootmux/internal/external"
)

const (
 // topicMembers holds a member record of each instance under its name.
 topicMembers external.Topic = "keyed.members"
 // membersEvery is how often the addresses are read; a new instance is not
 // needed by others at once.
 membersEvery = 8 * time.Second
 // memberPause is how long an instance that did not answer is asked last.
 memberPause = 3 * time.Second
 // maxRoutes bounds the peers that are tried for one call.
 maxRoutes = 3
)

// memberRecord says where an instance is reached, and how much later than others it
// claims a term.
type memberRecord struct {
 Addr string `cbor:"1,keyasint"`
 Delay time.Duration `cbor:"2,keyasint,omitempty"`
}

// members are the addresses of other instances, from the settings and the store.
type members struct {
 mu sync.Mutex
 // addrs are all that are known, in a fixed order that differs by instance.
 addrs []string
 // strongAddrs are those of machines that claim a term without a delay.
 strongAddrs map[string]bool
 // silent holds when an instance last gave no answer.
 silent map[string]time.Duration
}

// set replaces the addresses and which of them are strong; own is left out.
func (m *members) set(addrs []string, strong map[string]bool, own string) {
 m.mu.Lock()
 defer m.mu.Unlock()
 m.strongAddrs = strong
 slices.Sort(addrs)
 addrs = slices.Compact(addrs)
 at, _ := slices.BinarySearch(addrs, own)
 m.addrs = append(slices.Clone(addrs[at:]), addrs[:at]...)
 m.addrs = slices.DeleteFunc(m.addrs, func(a string) bool { return a == own })
}

// best gives some addresses to try, first whoever is preferred, last those that
// did not answer lately.
func (m *members) best(now time.Duration, preferred string) []string {
 m.mu.Lock()
 defer m.mu.Unlock()
 all := m.inOrder(now, preferred, m.addrs)
 return all[:min(len(all), maxRoutes)]
}

// strong gives some addresses of strong machines, last those that did not answer lately.
func (m *members) strong(now time.Duration, most int) []string {
 m.mu.Lock()
 defer m.mu.Unlock()
 var addrs []string
 for _, a := range m.addrs {
 if m.strongAddrs[a] {
 addrs = append(addrs, a)
 }
 }
 all := m.inOrder(now, "", addrs)
 return all[:min(len(all), most)]
}

// inOrder puts the preferred address first and those that did not answer lately last.
func (m *members) inOrder(now time.Duration, preferred string, addrs []string) []string {
 var good, bad []string
 for _, a := range addrs {
 switch at, ok := m.silent[a]; {
 case ok && now-at < memberPause:
 bad = append(bad, a)
 case a == preferred:
 good = slices.Insert(good, 0, a)
 default:
 good = append(good, a)
 }
 }
 return append(good, bad...)
}

// answered notes whether an instance answered.
func (m *members) answered(addr string, ok bool) {
 m.mu.Lock()
 defer m.mu.Unlock()
 if ok {
 delete(m.silent, addr)
 return
 }
 m.silent[addr] = boottime()
}

// noteAnswer notes whether an instance answered a call. One that its caller gave up
// says nothing.
func (i *Instance) noteAnswer(ctx context.Context, addr string, err error) {
 if err == nil || ctx.Err() == nil {
 i.members.answered(addr, err == nil)
 }
}

// followMembers announces this instance and reads where the others are.
func (i *Instance) followMembers(ctx context.Context) {
 announced := false
 for ctx.Err() == nil {
 if !announced {
 announced = i.announce(ctx)
 }
 i.readMembers(ctx)
 if !announced {
 sleep(ctx, readRetryDelay)
 continue
 }
 sleep(ctx, membersEvery)
 }
}

func (i *Instance) announce(ctx context.Context) bool {
 value, err := encode(memberRecord{Addr: i.Settings.LinkAddr, Delay: i.Settings.Term.ClaimDelay})
 if err == nil {
 _, err = i.log.Append(ctx, external.Append{
 Topic: topicMembers, Records: []external.Record{{Key: i.Settings.Name, Value: value}},
 })
 }
 if err != nil {
 evMembers.Log(ctx, i.logger, slog.String("call", "announce"), slog.Any("error", err))
 }
 return err == nil
}

func (i *Instance) readMembers(ctx context.Context) {
 ctx, cancel := context.WithTimeout(ctx, readWait)
 defer cancel()
 p, err := i.log.Newest(ctx, topicMembers)
 if err != nil {
 evMembers.Log(ctx, i.logger, slog.String("call", "read"), slog.Any("error", err))
 return
 }
 addrs, strong := slices.Clone(i.Settings.Peers), make(map[string]bool)
 for _, r := range p.Records {
 var m memberRecord
 if err := decodeRecord(r.Value, &m); err != nil {
 evRecordBad.Log(ctx, i.logger, slog.String("topic", string(topicMembers)), slog.String("key", r.Key), slog.Any("error", err))
 continue
 }
 addrs = append(addrs, m.Addr)
 strong[m.Addr] = m.Delay == 0
 }
 i.members.set(addrs, strong, i.Settings.LinkAddr)
}

// peers gives the addresses of other instances to try, the cell's owner first.
func (i *Instance) peers() []string {
 owner := ""
 if rec, ok := i.currentTerm(); ok && rec.Addr != i.Settings.LinkAddr {
 owner = rec.Addr
 }
 return i.members.best(boottime(), owner)
}
