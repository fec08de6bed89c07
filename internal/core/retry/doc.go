// Package retry decides on which workers a task whose run has failed may be
// tried again, and how long it waits for them.
//
// Load pattern: a part of a pool fails all that is started there while its
// health is reported as good, say a tenth of the workers. Each gives itself away
// by its first failure, but a task that is started anew at once draws the next
// one that has not, and a job of 180 tasks then has one that uses up three tries
// in half a second. While many workers fail, a task that has failed goes to
// workers on which something started since has got on.
package retry
