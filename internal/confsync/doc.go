// Package confsync keeps the configuration in force on an own host. It follows
// the configuration stream of the log, and hands versions on to a few other own
// hosts, so that one that can't reach the log learns them too. All decisions are
// in package settings.
package confsync
