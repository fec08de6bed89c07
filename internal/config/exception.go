package config

import (
	"time"

	"coltsfootmux/internal/model"
)

// Exception overrides defaults for an account, a kind of work or a place.
// Empty selectors match everything; nil fields change nothing.
type Exception struct {
	ID     string `yaml:"id" json:"id" validate:"required"`
	Reason string `yaml:"reason" json:"reason" validate:"required"`
	// Expires is when the exception ends; zero for never.
	Expires time.Time `yaml:"expires,omitempty" json:"expires,omitzero"`

	Account model.Account `yaml:"account,omitempty" json:"account,omitempty"`
	Kind    model.Kind    `yaml:"kind,omitempty" json:"kind,omitempty"`
	// DataCentre, Cell and Worker select by place, for draining.
	DataCentre model.DataCentre `yaml:"dataCentre,omitempty" json:"data_centre,omitempty"`
	Cell       model.CellID     `yaml:"cell,omitempty" json:"cell,omitempty"`
	Worker     model.WorkerID   `yaml:"worker,omitempty" json:"worker,omitempty"`

	// Drain keeps new work away from the selected place; false cancels a less specific drain.
	Drain         *bool     `yaml:"drain,omitempty" json:"drain,omitempty"`
	LongestWait   *Duration `yaml:"longestWait,omitempty" json:"longest_wait,omitempty"`
	RatePerSecond *float64  `yaml:"ratePerSecond,omitempty" json:"rate_per_second,omitempty"`
	Concurrency   *int      `yaml:"concurrency,omitempty" json:"concurrency,omitempty"`
	QueueBound    *int      `yaml:"queueBound,omitempty" json:"queue_bound,omitempty"`
	// Class replaces the class of the selected work.
	Class *string `yaml:"class,omitempty" json:"class,omitempty" validate:"omitempty,oneof=batch normal urgent"`
}
