// Package config defines the configuration document that operators maintain: the
// fleet, defaults, client accounts and exceptions. It parses, validates, compares
// and encodes documents.
package config
