package auth

// Role is what a token's holder may do.
type Role string

// The roles.
const (
	// RoleViewer sees everything and changes nothing.
	RoleViewer Role = "viewer"
	// RoleOperator sees everything and changes the configuration.
	RoleOperator Role = "operator"
	// RoleAccount sends, sees and cancels the work of one client account.
	RoleAccount Role = "account"
)

// Valid reports whether r is one of the roles.
func (r Role) Valid() bool {
	switch r {
	case RoleViewer, RoleOperator, RoleAccount:
		return true
	}
	return false
}
