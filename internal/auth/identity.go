package auth

import (
	"context"

	"coltsfootmux/internal/model"
)

// Identity is an authenticated caller.
type Identity struct {
	// Name identifies the caller in the audit trail.
	Name string
	Role Role
	// Account is the caller's client account. It is set only with RoleAccount.
	Account model.Account
	// Trusted allows everything. It is set when the program runs without tokens.
	Trusted bool
}

// MayViewAccount reports whether the caller may see the account's work.
func (i Identity) MayViewAccount(a model.Account) bool {
	return i.Trusted || i.Role == RoleViewer || i.Role == RoleOperator || i.MayActFor(a)
}

// MayActFor reports whether the caller may submit and cancel work for the account.
func (i Identity) MayActFor(a model.Account) bool {
	return i.Trusted || i.Role == RoleAccount && i.Account == a
}

// MayOperate reports whether the caller may change the configuration.
func (i Identity) MayOperate() bool { return i.Trusted || i.Role == RoleOperator }

// MayViewAll reports whether the caller may see the state of the whole system.
func (i Identity) MayViewAll() bool {
	return i.Trusted || i.Role == RoleOperator || i.Role == RoleViewer
}

type identityKey struct{}

// WithIdentity returns a context that carries the identity.
func WithIdentity(ctx context.Context, i Identity) context.Context {
	return context.WithValue(ctx, identityKey{}, i)
}

// FromContext returns the identity that Middleware has put into the context; ok
// is false if there is none.
func FromContext(ctx context.Context) (i Identity, ok bool) {
	i, ok = ctx.Value(identityKey{}).(Identity)
	return i, ok
}
