package shed

import "time"

// Delay is for how long starts have been put off for want of processor time. The zero value means that
// none are.
type Delay struct {
	since, value time.Duration
}

// PutOff takes in at a time that starts are put off, and for how long the oldest of their jobs has stood. A job
// may have stood for another reason before the first of the times that follow each other.
func (d *Delay) PutOff(now, stands time.Duration) {
	if d.since == 0 {
		d.since = now
	}
	d.value = min(stands, now-d.since)
}

// Value returns the delay.
func (d *Delay) Value() time.Duration { return d.value }
