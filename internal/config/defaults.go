package config

import "coltsfootmux/internal/model"

// Defaults hold for every client account unless the account or an exception says otherwise.
type Defaults struct {
	// LongestWait is how long work may wait for its start before it is answered.
	LongestWait Duration `yaml:"longestWait" json:"longest_wait" validate:"gt=0"`
	// LargeWait is the wait after which a rack is drained for a large job.
	LargeWait Duration `yaml:"largeWait" json:"large_wait" validate:"gt=0"`
	// UrgentWait is the bound on an urgent start.
	UrgentWait Duration `yaml:"urgentWait" json:"urgent_wait" validate:"gt=0"`
	// ReclaimWithin bounds the time from asking for guaranteed room to having it.
	ReclaimWithin Duration `yaml:"reclaimWithin" json:"reclaim_within" validate:"gt=0"`
	// CheckpointWithin is how long a checkpoint may take before the task is stopped.
	CheckpointWithin Duration `yaml:"checkpointWithin" json:"checkpoint_within" validate:"gt=0"`
	// LeaseTTL is the time to live of worker leases.
	LeaseTTL Duration `yaml:"leaseTTL" json:"lease_ttl" validate:"gt=0"`
	// KeyRetention is how long outcomes are kept for repeats.
	KeyRetention Duration `yaml:"keyRetention" json:"key_retention" validate:"gt=0"`
	// CallerSkew bounds how far callers' clocks are off.
	CallerSkew Duration `yaml:"callerSkew" json:"caller_skew" validate:"gte=0"`
	// QueueBound is how many pieces of work of one account may wait at one scheduler.
	QueueBound int `yaml:"queueBound" json:"queue_bound" validate:"gte=1"`
	// RatePerSecond is how many requests a second one entry host takes from one account.
	RatePerSecond float64 `yaml:"ratePerSecond" json:"rate_per_second" validate:"gt=0,lte=1e9"`
	// Concurrency is how many requests of one account one entry host holds at once.
	Concurrency int `yaml:"concurrency" json:"concurrency" validate:"gte=1"`
	// RetryShare is the share of requests that may be retries, from 0 to 1.
	RetryShare float64 `yaml:"retryShare" json:"retry_share" validate:"gte=0,lte=1"`
	// MaxAttempts bounds the starts of one idempotent piece of work.
	MaxAttempts int `yaml:"maxAttempts" json:"max_attempts" validate:"gte=1,lte=10"`
	// BodyLimitBytes bounds a request's body.
	BodyLimitBytes int `yaml:"bodyLimitBytes" json:"body_limit_bytes" validate:"gte=1"`
	// Weights say what placement leans to.
	Weights Weights `yaml:"weights" json:"weights"`
	// Reference is the adjacent shape that fragmentation is measured by.
	Reference model.Shape `yaml:"reference" json:"reference"`
	// CrossRegionBytesPerSecond is the budget of one host on the link between regions.
	CrossRegionBytesPerSecond int `yaml:"crossRegionBytesPerSecond" json:"cross_region_bytes_per_second" validate:"gte=0"`
}

// Weights are the objective's weights; only their ratio counts.
type Weights struct {
	Completion    float64 `yaml:"completion" json:"completion" validate:"gte=0,lte=1e9"`
	Fragmentation float64 `yaml:"fragmentation" json:"fragmentation" validate:"gte=0,lte=1e9"`
}
