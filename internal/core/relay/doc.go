// Package relay decides which instances of a region read the operators' policy from the
// store, and which of these the others ask for it.
//
// Load pattern: a policy of hundreds of kilobytes and dozens of instances in a region that a
// link of tens of megabits a second connects to the store. If each instance reads each
// version, the copies fill the link for seconds, versions come into force late, and calls to
// the region's workers time out. With a few readers a region, the link carries as many copies
// whatever the number of instances, and the others copy the policy inside the region.
//
// All instances decide by the same list of members, so that they agree without messages.
// While their lists differ, an instance may ask a member that reads from no store itself;
// such a member says so.
package relay
