package partitionsim

import "time"

// recoverWithin is the platform's bound on the time after which accepted work goes on
// (recover_s).
const recoverWithin = 12 * time.Second
