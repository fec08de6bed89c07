package entry

import (
	"coltsfootmux/internal/config"
	"coltsfootmux/internal/mapping"
)

// inForce is a configuration with what is derived from its fleet once.
type inForce struct {
	version config.Version
	doc     *config.Document
	room    *room
	mapping *mapping.Mapping
}

// maxBodyBytes is the longest body whatever the configuration says: with the
// rest of its request it fits into one message on a link.
const maxBodyBytes = 7 << 20

// bodyLimit is the longest body of a request in bytes.
func (c *inForce) bodyLimit() int { return min(c.doc.Defaults.BodyLimitBytes, maxBodyBytes) }

// derive takes over what an older configuration derived from the same fleet.
func derive(old *inForce, v *config.Versioned) *inForce {
	next := &inForce{version: v.Version, doc: &v.Document}
	if old == nil {
		next.room, next.mapping = newRoom(&v.Document.Fleet), mapping.New(v.Document.Fleet)
		return next
	}
	next.room, next.mapping = old.room, old.mapping.For(v.Document.Fleet)
	if next.mapping != old.mapping {
		next.room = newRoom(&v.Document.Fleet)
	}
	return next
}
