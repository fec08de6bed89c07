// Package ctl is the operators' command line over the administration API.
package ctl
