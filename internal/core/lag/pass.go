package lag

import "time"

// passShare divides the time to give the part of it that placement passes may take. The rest is for
// the calls and answers without which a pass decides nothing new.
const passShare = 4

// maxPassInterval bounds the time between two passes: jobs must not stand for seconds, and a pass in
// which the whole process was paused says nothing about its cost.
const maxPassInterval = 500 * time.Millisecond

// PassInterval returns the time from the begin of a placement pass to that of the next one.
//
// Load pattern: a backlog makes passes longer. Made as often as before, they would take all of the
// processor, and the backlog would grow by what is not done meanwhile.
func PassInterval(took time.Duration) time.Duration { return min(passShare*took, maxPassInterval) }
