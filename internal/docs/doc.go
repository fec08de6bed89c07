// Package docs generates the tables of events and metrics in docs/ from the
// programs' declarations. Its tests check that the tables, and the list of packages
// below, match the code.
package docs

// Each package that declares events or metrics is imported for its declarations.
import (
	_ "coltsfootmux/internal/admin"
	_ "coltsfootmux/internal/audit"
	_ "coltsfootmux/internal/auth"
	_ "coltsfootmux/internal/confsync"
	_ "coltsfootmux/internal/entry"
	_ "coltsfootmux/internal/inbound"
	_ "coltsfootmux/internal/instance"
	_ "coltsfootmux/internal/link"
	_ "coltsfootmux/internal/logclient"
	_ "coltsfootmux/internal/logsink"
	_ "coltsfootmux/internal/node"
	_ "coltsfootmux/internal/platform/httpcall"
	_ "coltsfootmux/internal/scheduler"
	_ "coltsfootmux/platform"
)
