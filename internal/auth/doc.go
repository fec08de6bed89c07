// Package auth says who calls: bearer tokens with roles from a settings file,
// and TLS certificates that are read again when their files change.
package auth
