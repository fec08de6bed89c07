// Package external defines the interfaces to the systems around the scheduler:
// the log store, the workers, the advice service and the service that maintains
// machines. Adapters implement the interfaces and map their own errors to those
// defined here.
package external
