// Package load sends open-loop load to the callers' API, as the users' services
// would, and counts the outcomes.
package load
