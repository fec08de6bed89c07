// Package httpcall makes one call to a platform service over HTTP and says
// precisely what is known of its fate: never sent, refused, or unclear.
package httpcall
