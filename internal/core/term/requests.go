package term

import "time"

const (
	// requestMemory is how long an instance requests no term after it has lost one. It doubles with each
	// in a row, up to maxLost.
	requestMemory = time.Minute
	maxLost       = 4
)

// requests says when an instance may request a term.
type requests struct {
	// next is the earliest time of the next RequestYield.
	next time.Duration
	// lost is the number of terms in a row that this instance has lost without a release, and has held for
	// less than requestMemory.
	lost int
}

// lostTerm records that a term was lost without a release after it was held for a time.
//
// Load pattern: a strong machine that is short of processor time for other reasons. It is in time while
// it owns nothing, requests the term, can't renew it, and requests it again from the next owner.
func (r *requests) lostTerm(now, held time.Duration) {
	if held >= requestMemory {
		r.lost = 0
	}
	r.next = now + requestMemory<<r.lost
	r.lost = min(r.lost+1, maxLost)
}
