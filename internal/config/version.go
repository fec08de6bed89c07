package config

// Version is the number of a configuration, from 1, in the order of the log.
type Version uint64

// Versioned is a document with its version.
type Versioned struct {
	Version  Version  `json:"version"`
	Document Document `json:"document"`
}
