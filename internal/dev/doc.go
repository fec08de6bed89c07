// Package dev runs a small but complete deployment in one process on loopback
// addresses: stand-ins for the platform's services and the system's own
// programs. It is meant for demonstrations and tests.
package dev
