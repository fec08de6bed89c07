// Package entitlement works out, from a configuration alone, which workers hold
// which client account's guaranteed shapes. Every scheduler computes the same
// plan and keeps the part of its own cells.
package entitlement
