package admin

import "coltsfootmux/internal/metric"

var mChanges = metric.NewCounterVec("coltsfootmux_admin_changes_total", "calls", "outcome",
	"Calls that change the configuration, by their outcome: accepted, pending, conflict or refused.")
