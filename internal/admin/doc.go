// Package admin serves the administration API: the configuration, its
// exceptions and drains, the state of the system, and the audit trail. No call
// steers a single job but its owner's cancellation.
package admin
