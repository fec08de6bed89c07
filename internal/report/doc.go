// Package report keeps what was seen in a run of load and draws it as one
// self-contained HTML page.
package report
