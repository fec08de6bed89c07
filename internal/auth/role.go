package auth

// Role determines what the holder of a token may do.
type Role string

// The roles.
const (
	// RoleViewer may see everything and change nothing.
	RoleViewer Role = "viewer"
	// RoleOperator may see everything and change the configuration.
	RoleOperator Role = "operator"
	// RoleAccount may submit, see and cancel the work of one client account.
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
