package platform

import (
	"context"

	"coltsfootmux/internal/model"
)

// HostList is the platform's lagging list of live and leaving hosts. Nothing
// safe may be concluded from it.
type HostList interface {
	// Hosts gives the list as the platform last knew it.
	Hosts(ctx context.Context) ([]model.Host, error)
}
