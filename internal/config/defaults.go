package config

import "coltsfootmux/internal/model"

// Defaults are the settings that apply unless a client account or an exception overrides them.
type Defaults struct {
	// LongestWait is how long work may wait to start before its caller gets an answer.
	LongestWait Duration `yaml:"longestWait" json:"longest_wait" validate:"gt=0"`
	// LargeWait is the wait after which a rack is drained for a large job.
	LargeWait Duration `yaml:"largeWait" json:"large_wait" validate:"gt=0"`
	// UrgentWait is the bound on an urgent start.
	UrgentWait Duration `yaml:"urgentWait" json:"urgent_wait" validate:"gt=0"`
	// ReclaimWithin bounds the time from a request for guaranteed capacity to getting it.
	ReclaimWithin Duration `yaml:"reclaimWithin" json:"reclaim_within" validate:"gt=0"`
	// CheckpointWithin is how long a checkpoint may take before the task is stopped.
	CheckpointWithin Duration `yaml:"checkpointWithin" json:"checkpoint_within" validate:"gt=0"`
	// LeaseTTL is the time to live of worker leases.
	LeaseTTL Duration `yaml:"leaseTTL" json:"lease_ttl" validate:"gt=0"`
	// KeyRetention is how long outcomes are kept to answer repeated requests.
	KeyRetention Duration `yaml:"keyRetention" json:"key_retention" validate:"gt=0"`
	// CallerSkew bounds the clock skew of callers.
	CallerSkew Duration `yaml:"callerSkew" json:"caller_skew" validate:"gte=0"`
	// QueueBound is how many work items of one account may wait at one scheduler.
	QueueBound int `yaml:"queueBound" json:"queue_bound" validate:"gte=1"`
	// RatePerSecond is how many requests a second one entry host accepts from one account.
	RatePerSecond float64 `yaml:"ratePerSecond" json:"rate_per_second" validate:"gt=0,lte=1e9"`
	// Concurrency is how many requests of one account may be open at one entry host.
	Concurrency int `yaml:"concurrency" json:"concurrency" validate:"gte=1"`
	// RetryShare is the share of requests that may be retries, from 0 to 1.
	RetryShare float64 `yaml:"retryShare" json:"retry_share" validate:"gte=0,lte=1"`
	// MaxAttempts bounds how often one idempotent work item is started.
	MaxAttempts int `yaml:"maxAttempts" json:"max_attempts" validate:"gte=1,lte=10"`
	// BodyLimitBytes bounds a request's body.
	BodyLimitBytes int `yaml:"bodyLimitBytes" json:"body_limit_bytes" validate:"gte=1"`
	// Weights are the weights of the placement objective.
	Weights Weights `yaml:"weights" json:"weights"`
	// Reference is the adjacent shape by which fragmentation is measured.
	Reference model.Shape `yaml:"reference" json:"reference"`
	// CrossRegionBytesPerSecond is one host's traffic budget on the link between regions.
	CrossRegionBytesPerSecond int `yaml:"crossRegionBytesPerSecond" json:"cross_region_bytes_per_second" validate:"gte=0"`
}

// Weights are the weights of the placement objective; only their ratio matters.
type Weights struct {
	Completion    float64 `yaml:"completion" json:"completion" validate:"gte=0,lte=1e9"`
	Fragmentation float64 `yaml:"fragmentation" json:"fragmentation" validate:"gte=0,lte=1e9"`
}
