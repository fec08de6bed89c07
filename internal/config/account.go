package config

import "coltsfootmux/internal/model"

// Account is a client account and what it is guaranteed. Zero values take the defaults.
type Account struct {
	Name model.Account `yaml:"name" json:"name" validate:"required"`
	// Guarantees are the capacities that the account can reclaim at any time.
	Guarantees []Guarantee `yaml:"guarantees" json:"guarantees" validate:"dive"`
	// Share is the account's weight in the fair sharing of capacity beyond the guarantees.
	Share float64 `yaml:"share" json:"share" validate:"gte=0,lte=1e9"`
	// DataCentres lists where its work may run; empty for anywhere.
	DataCentres   []model.DataCentre `yaml:"dataCentres" json:"data_centres"`
	LongestWait   Duration           `yaml:"longestWait" json:"longest_wait" validate:"gte=0"`
	RatePerSecond float64            `yaml:"ratePerSecond" json:"rate_per_second" validate:"gte=0,lte=1e9"`
	Concurrency   int                `yaml:"concurrency" json:"concurrency" validate:"gte=0"`
	QueueBound    int                `yaml:"queueBound" json:"queue_bound" validate:"gte=0"`
}

// Guarantee is a number of adjacent shapes that an account can always have.
type Guarantee struct {
	Shape model.Shape `yaml:"shape" json:"shape"`
	Count int         `yaml:"count" json:"count" validate:"gte=1"`
	// Adjacency is how close to each other the Count shapes must be placed.
	Adjacency model.Adjacency `yaml:"adjacency" json:"adjacency"`
	// DataCentre binds the guarantee to one data centre; empty for any.
	DataCentre model.DataCentre `yaml:"dataCentre" json:"data_centre"`
}
