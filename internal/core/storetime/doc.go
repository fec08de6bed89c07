// Package storetime estimates the store's recent response time, from which callers
// derive their timeouts. A store that is 70 times slower than usual still answers, and
// a repeated call would only lengthen its queue.
//
// Estimate is a plain value without clock, goroutine or log.
package storetime
