// Command coltsfootmux-node is the one program of a machine on the platform: it
// takes jobs in, and owns the cell while it holds the term.
package main

import (
	"coltsfootmux/internal/process"
	"coltsfootmux/platform"
)

func main() { process.Main(platform.Command()) }
