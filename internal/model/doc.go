// Package model holds the plain data types that the cores, the shells and the
// programs share. It has no I/O and no behaviour beyond small pure helpers.
package model
