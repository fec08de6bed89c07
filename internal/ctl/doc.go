// Package ctl implements coltsfootmuxctl, the operators' command line client of
// the administration API.
package ctl
