// Package config holds the one document by which operators run the system: the
// fleet, defaults, client accounts and a short list of exceptions.
package config
