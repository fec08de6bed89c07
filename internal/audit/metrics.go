package audit

import "coltsfootmux/internal/metric"

var mEntries = metric.NewCounterVec("coltsfootmux_audit_entries_total", "entries", "ruling",
	"Audit entries added by this process: accepted, conflict, refused or pending.")
