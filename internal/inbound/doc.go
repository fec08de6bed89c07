// Package inbound serves HTTP on a listener that holds a bounded number of connections. Which of
// them is closed for a new one is decided by core/admission.
package inbound
