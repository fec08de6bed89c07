// Package admission decides which connections a listener holds. Their number is bounded. When a
// connection beyond the bound is opened, the one that has waited for its peer the longest is
// closed, so that new callers are served beside idle and silent ones. A connection whose request
// is worked on is never closed.
package admission
