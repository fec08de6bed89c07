package journal

import "time"

// Config bounds what a Writer sends and keeps.
type Config struct {
	// PerSecond is the budget of appends a second over all streams.
	PerSecond float64
	// Burst is how many appends may come at once.
	Burst float64
	// Linger is how long a record that nobody waits for may wait for company.
	Linger time.Duration
	// BatchRecords and BatchBytes bound one append.
	BatchRecords int
	BatchBytes   int
	// ProbeBytes bounds an append after one that failed, so that an outage costs
	// little of the link.
	ProbeBytes int
	// QueueRecords and QueueBytes bound what waits for one stream.
	QueueRecords int
	QueueBytes   int
	Backoff      Backoff
}

// DefaultConfig gives the bounds for one of ten processes that share a log
// service which takes 300 appends a second.
func DefaultConfig() Config {
	return Config{
		PerSecond:    30,
		Burst:        10,
		Linger:       250 * time.Millisecond,
		BatchRecords: 512,
		BatchBytes:   1 << 20,
		ProbeBytes:   16 << 10,
		QueueRecords: 8192,
		QueueBytes:   4 << 20,
		Backoff:      DefaultBackoff(),
	}
}
