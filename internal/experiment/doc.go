// Package experiment compares placement policies on a small fake fleet in
// virtual time. A queue of timed events feeds the real placement core; the fake
// workers only know how long a task takes and how it answers a control.
package experiment
