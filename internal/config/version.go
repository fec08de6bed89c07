package config

// Version numbers the configurations in force, from 1, in log order.
type Version uint64

// Versioned is a document with its version.
type Versioned struct {
	Version  Version  `json:"version"`
	Document Document `json:"document"`
}
