// Command coltsfootmux-admin serves the administration API and keeps the audit
// trail.
package main

import (
	"coltsfootmux/internal/admin/program"
	"coltsfootmux/internal/process"
)

func main() { process.Main(program.Command()) }
