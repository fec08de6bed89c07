package link

// DialAtOnce lets the next call to addr dial even if a dial has just failed, or a link was
// silent. It is for calls that test
// whether the process answers now.
func (p *Pool) DialAtOnce(addr string) {
	p.mu.Lock()
	e := p.endpoints[addr]
	p.mu.Unlock()
	if e == nil {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.settle()
	e.redial.DialAtOnce()
}
