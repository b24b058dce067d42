// Package jobs is the replicated state machine of one shard of jobs. Its State holds the jobs that clients submitted, the
// runs that may exist on runners, and the results of runs that have ended.
//
// # Determinism
//
// Raft requires a deterministic state machine (Ongaro, "Consensus: Bridging Theory and Practice", 2014, section 2.1).
// Replicas that have applied the same commands in the same order therefore have equal states, and equal states have the
// same Snapshot, byte by byte, and the same Digest. The package keeps this as follows:
//   - It has no clock, no random numbers, no I/O and no goroutines. Time comes with the commands (Command.TimeOfDayMs).
//   - No result depends on the iteration order of a map: keys are sorted before they are used.
//   - Limits, such as maxAgeStepMs, maxOpenTasks and the limits that Validate checks, affect the result of a command. They
//     must be the same in all releases that run together: replicas with different limits would diverge.
//
// Callers must apply each committed command exactly once, in the order of the log, and must use the same Options on all
// replicas. Only one goroutine may use a State at a time. Tasks and jobs that it returns may be read until the next
// Restore; only Apply changes them.
//
// # Runs
//
// A run is one execution of a task on a runner. A State records at most one run of a task that may exist: it applies a
// Start only after the End or the Loss of the task's previous run was applied. For this to hold on the runners too, the
// caller must send a start order only after the command with the Start was applied.
//
// The package does not choose runners. Estimates, such as free capacity and predicted times, are not replicated: the owner
// of the shard keeps them, in package scheduler.
//
// # Stored form
//
// Commands and snapshots are encoded without field names (encoding.go), so Go fields may be renamed. But logs and snapshots
// depend on the order of the fields, and on the numbers of phases, job states, outcomes, flags and tombstone kinds. These
// must not change without a new version number of the encoding, or else stored data could not be read.
package jobs
