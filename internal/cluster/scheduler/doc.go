// Package scheduler has the decisions of the owner of one shard of jobs: how heartbeats of runners are answered, which
// pending tasks start where, which runs are stopped, and which can no longer exist.
//
// The package is pure: no I/O, no clock, no goroutines. Inputs (requests of clients, heartbeats, applied commands, the
// monotonic time) go in by methods of Owner; commands for the shard's log come out of NextCommand, replies by the callbacks
// that came with the requests. All methods of an Owner are called by one goroutine, with times that never go back.
//
// What must outlast the owner is in package jobs and changes only by committed commands. All that an Owner has beside it
// is rebuilt by a successor from the runners' heartbeats.
//
// The caller proposes what NextCommand returns, reports the outcome by Applied or Failed, passes the newest confirmation
// of leadership to Tick (Raft's read index: Ongaro 2014, section 6.4), asks for a new one while NeedsConfirmation, and
// calls Flush after NextCommand. In return an Owner orders a start only after it was committed, acknowledges an end only
// after it was committed, grants leases that end no later than Options.MaxLease after a confirmation was asked for, and
// gives up a run only when it certainly exists nowhere: no lease of its runner may last, the runner's incarnation is
// over, the runner does not list a start that no answer carries any more, or it has refused the run for good. An Owner
// that was replaced without noticing does no harm: its leases are counted from confirmations, its proposals fail, and
// runners refuse its fencing token.
//
// Where to look:
//
//	deciding      round.go, snapshot.go, objective.go, headroom.go   which tasks start where
//	              health.go, stops.go                                which runners are trusted, which runs are stopped
//	carrying out  proposals.go, orders.go, tick.go                   commands to the log, orders to runners, time
//	inputs        requests.go, replies.go, reads.go                  clients
//	              heartbeat.go, reports.go                           runners
//	leases        leadership.go, leases.go                           how long the owner may answer, and runners go on
//	              incarnations.go, losses.go                         which runs can no longer exist
//	observing     waitreasons.go, overview.go                        why tasks wait, what operators see
package scheduler
