// Package testcopy checks, for tests, that a copy of an object graph shares nothing with the original.
package testcopy
