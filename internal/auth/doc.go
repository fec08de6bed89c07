// Package auth authenticates callers by bearer tokens, which a file lists with
// their roles, and provides TLS certificates. Both are reloaded when their files
// change.
package auth
