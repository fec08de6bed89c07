// Package job holds the types of batch jobs: what a caller submits, the
// queues, accounts and pools that a policy declares, and the durable records
// that the programs keep of both.
package job
