package entry

import (
	"coltsfootmux/internal/config"
	"coltsfootmux/internal/mapping"
)

// activeConfig is a configuration with data derived from its fleet.
type activeConfig struct {
	version  config.Version
	doc      *config.Document
	capacity *fleetCapacity
	mapping  *mapping.Mapping
}

// maxBodyBytes is the size of the largest body, whatever the configuration allows:
// with the rest of its request it fits into one message of a link.
const maxBodyBytes = 7 << 20

// bodyLimit returns the size of a request's largest body in bytes.
func (c *activeConfig) bodyLimit() int { return min(c.doc.Defaults.BodyLimitBytes, maxBodyBytes) }

// derive returns the active configuration for v. It reuses the derived data of old,
// which may be nil, if the fleet is the same.
func derive(old *activeConfig, v *config.Versioned) *activeConfig {
	next := &activeConfig{version: v.Version, doc: &v.Document}
	if old == nil {
		next.capacity, next.mapping = newFleetCapacity(&v.Document.Fleet), mapping.New(v.Document.Fleet)
		return next
	}
	next.capacity, next.mapping = old.capacity, old.mapping.For(v.Document.Fleet)
	if next.mapping != old.mapping {
		next.capacity = newFleetCapacity(&v.Document.Fleet)
	}
	return next
}
