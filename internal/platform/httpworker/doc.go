// Package httpworker is the platform.Workers binding over HTTP and JSON.
package httpworker
