// Package protocol holds what clients and servers of the platform's HTTP
// interfaces share: paths, headers, size bounds, message bodies that are not in
// package platform, and the problem document that carries an error.
// docs/PLATFORM.md describes the protocol.
package protocol
