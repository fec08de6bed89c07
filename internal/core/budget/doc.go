// Package budget bounds what a cell holds by the memory of the machines that may own
// it. Cost estimates what an owner needs for a job, and Admission decides on each instance
// which jobs may still be accepted, from what the owner reports and what was accepted
// since.
package budget
