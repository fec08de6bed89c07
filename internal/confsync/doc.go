// Package confsync keeps the configuration of one of the system's own hosts up to
// date. It follows the configuration stream of the log and passes each version on
// to a few other own hosts, so that hosts that can't reach the log learn it too.
// All decisions are made in package settings.
package confsync
