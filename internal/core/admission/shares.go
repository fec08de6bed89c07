package admission

// Shares of a process's descriptors and memory. What they leave is for the store, the workers and
// the links to other instances.
const (
	callerFileShare = 0.375
	linkFileShare   = 0.25
	memoryShare     = 0.25
	// connBytes is the memory of a connection that has sent the longest head.
	connBytes = 64 << 10
	// minConns bounds the shares from below.
	minConns = 16
	// defaultConns is the share if no limit is known.
	defaultConns = 1024
	// operatorConns and readinessConns serve a few tools and one probe a second.
	operatorConns  = 64
	readinessConns = 64
)

// Shares are the numbers of connections that the listeners of a process hold.
type Shares struct {
	// Callers, Links, Operators and Readiness are for callers, other instances, operators'
	// tools and readiness checks.
	Callers, Links, Operators, Readiness int
}

// SharesOf returns the shares of a process that may use so many descriptors for connections and
// so many bytes of memory; 0 if a limit is not known.
func SharesOf(descriptors int, memoryBytes int64) Shares {
	s := Shares{Callers: defaultConns, Links: defaultConns, Operators: operatorConns, Readiness: readinessConns}
	if descriptors > 0 {
		s.Callers = int(callerFileShare * float64(descriptors))
		s.Links = int(linkFileShare * float64(descriptors))
	}
	if memoryBytes > 0 {
		most := int(memoryShare * float64(memoryBytes) / connBytes)
		s.Callers, s.Links = min(s.Callers, most), min(s.Links, most)
	}
	s.Callers, s.Links = max(s.Callers, minConns), max(s.Links, minConns)
	return s
}
