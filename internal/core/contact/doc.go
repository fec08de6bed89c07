// Package contact limits how many workers a new owner asks at once.
//
// Load pattern: a takeover. Before the new owner may start tasks again that the
// previous owner may have started, it has to ask all workers of the pool: hundreds, over
// links of tens of milliseconds and on new connections. Their answers can fill the
// owner's processor, and the renewals of its term then wait behind them. The window
// grows while answers arrive promptly and shrinks when they are delayed, so that a
// strong machine is limited by the links and a weak one by its processor.
package contact
