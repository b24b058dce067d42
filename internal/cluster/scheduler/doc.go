// Package scheduler makes the decisions of the leader (the owner) of one shard of jobs: how it answers the heartbeats of
// runners, on which runner it starts each pending task, which runs it stops, and which runs it declares lost.
//
// The package is pure: it does no I/O, reads no clock and starts no goroutine. Client requests, heartbeats, applied
// commands and the monotonic time are passed to methods of Owner. Commands for the shard's log are returned by
// NextCommand. Replies are delivered through the callbacks that came with the requests. One goroutine calls all methods
// of an Owner, with times that never decrease.
//
// State that a change of the leader must not lose is kept by package jobs and changes only by committed commands. An Owner
// keeps everything else in memory; the next owner rebuilds it from the runners' heartbeats.
//
// # Duties of the caller
//
//   - It proposes the command that NextCommand returns, and reports the outcome by Applied or Failed.
//   - It calls Flush after NextCommand.
//   - It passes to Tick the time at which the newest confirmation of leadership was requested (Raft's read index: Ongaro
//     2014, section 6.4), and requests another confirmation while NeedsConfirmation returns true.
//
// # Guarantees
//
//   - An Owner orders a start only after the start is committed.
//   - It acknowledges the end of a run only after the end is committed.
//   - It grants leases that end at most Options.MaxLease after the confirmation on which they are based was requested.
//   - It declares a run lost only when the run exists nowhere and can't come into existence: every lease of its runner has
//     expired; or the runner's incarnation has ended; or the runner doesn't list the run and every answer that ordered its
//     start is void; or the runner has reported that it will never start the run.
//
// An Owner that was replaced without noticing does no harm: its leases are counted from confirmations, its proposals fail,
// and runners refuse its fencing token once they have had contact with its successor.
//
// # Files
//
//	deciding      round.go, snapshot.go, headroom.go                 which tasks start where
//	              pending.go, pending_changes.go, aged.go            the order in which rounds consider pending tasks
//	              objective.go                                       the deadlines of pending tasks
//	              health.go, stops.go                                which runners are reliable, which runs are stopped
//	carrying out  proposals.go, orders.go, tick.go                   commands to the log, orders to runners, time
//	inputs        requests.go, replies.go, reads.go                  clients
//	              heartbeat.go, reports.go                           runners
//	leases        leadership.go, leases.go                           how long the owner may answer and runners may run
//	              incarnations.go, losses.go                         which runs can no longer exist
//	observing     waitreasons.go, overview.go                        why tasks wait, overviews for operators
package scheduler
