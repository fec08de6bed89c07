// Package report records the results of a load run and draws them as a single
// self-contained HTML page.
package report
