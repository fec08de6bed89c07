// Package admin serves the administration API: the configuration, its
// exceptions and drains, the state of the system, and the audit trail. The only
// call that affects a single job is its cancellation by the account that owns it.
package admin
