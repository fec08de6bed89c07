// Package lag judges how late a process runs its own work.
//
// Load pattern: an owner with less processor time than its work takes. Answers lie in its
// sockets while the time limits of the calls pass, so that it sees silence where there is
// none. A process that knows its own lag can tell the two apart, and can put off what is not
// urgent.
//
// The package has no clock and no goroutine; its events carry the time.
package lag
