// Package jobs is the replicated state machine of one shard of jobs: the jobs that clients submitted, every run that may
// exist, and how runs ended.
//
// The package is pure and deterministic. It has no clock, no randomness, no I/O and no goroutines: the same commands in
// the same order give the same State on each replica, byte by byte (Snapshot, Digest). That is what Raft asks of a state
// machine (Ongaro, "Consensus: Bridging Theory and Practice", 2014, section 2.1).
//
// Callers must apply each committed command exactly once, in the order of the log, and use the same Options on all
// replicas. A State may be used by one goroutine at a time; tasks and jobs that it returns may be read until the next
// Restore, and are changed by Apply alone.
//
// A State keeps at most one run of a task that may exist: a Start is applied only when the End or Loss of the run before
// was. For that to be true of the runners as well, a start must be ordered only after its command was applied. The
// package does not choose runners: what is only an estimate (free capacity, predicted times) belongs to the owner
// of the shard, package scheduler.
//
// Commands and snapshots are written by hand (encoding.go): names of fields are free, the order of what is written and
// the numbers of phases, states and outcomes are the stored form and must not change.
package jobs
