// Package dev runs a whole small deployment in one process on loopback: the
// platform's stand-ins and the system's own programs. It is for trying the
// system out and for tests.
package dev
