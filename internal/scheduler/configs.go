package scheduler

import "coltsfootmux/internal/config"

// Configs gives the configuration in force.
type Configs interface {
	// Current gives the configuration in force, or nil before there is one.
	Current() *config.Versioned
	// OnChange registers a function that is called with each new one.
	OnChange(f func(*config.Versioned))
}
