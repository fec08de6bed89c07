// Command coltsfootmux-node is the only program that runs on a machine of the
// platform. It accepts jobs, and owns the cell while it holds the term.
package main

import (
	"coltsfootmux/internal/process"
	"coltsfootmux/platform"
)

func main() { process.Main(platform.Command()) }
