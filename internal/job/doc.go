// Package job defines batch jobs: what a caller submits, the queues, client
// accounts and worker pools that a policy declares, and the records of jobs and
// their progress that are kept in the store.
package job
