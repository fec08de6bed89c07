package auth

import (
	"context"

	"coltsfootmux/internal/model"
)

// Identity is who makes a call.
type Identity struct {
	// Name is written to the audit trail.
	Name string
	Role Role
	// Account is set with RoleAccount.
	Account model.Account
	// Trusted is set when the program runs without tokens: everything is allowed.
	Trusted bool
}

// MaySee reports whether the account's work may be shown.
func (i Identity) MaySee(a model.Account) bool {
	return i.Trusted || i.Role == RoleViewer || i.Role == RoleOperator || i.Owns(a)
}

// Owns reports whether work may be sent and cancelled for the account.
func (i Identity) Owns(a model.Account) bool {
	return i.Trusted || i.Role == RoleAccount && i.Account == a
}

// MayOperate reports whether the configuration may be changed.
func (i Identity) MayOperate() bool { return i.Trusted || i.Role == RoleOperator }

// MayView reports whether the whole system may be looked at.
func (i Identity) MayView() bool {
	return i.Trusted || i.Role == RoleOperator || i.Role == RoleViewer
}

type identityKey struct{}

// WithIdentity puts the identity into a context.
func WithIdentity(ctx context.Context, i Identity) context.Context {
	return context.WithValue(ctx, identityKey{}, i)
}

// FromContext gives the identity that Middleware found; ok is false without one.
func FromContext(ctx context.Context) (i Identity, ok bool) {
	i, ok = ctx.Value(identityKey{}).(Identity)
	return i, ok
}
