package scheduler

import (
	"time"

	"ospreypond/internal/cluster/failure"
	"ospreypond/internal/cluster/jobs"
	"ospreypond/internal/cluster/placement"
	"ospreypond/internal/cluster/protocol"
)

// Owner makes the decisions for one shard while its process leads the shard's replica group. One goroutine uses it.
type Owner struct {
	options Options
	state   *jobs.State
	planner *placement.Planner

	leadership  leadership
	runners     incarnations
	pending     pendingSteps
	capacities  map[string]protocol.Resources // total of the schedulable runners, by service, as of its latest round
	proposals   proposals
	reads       confirmedReads
	headroom    headroom
	jobFailures jobFailures
	reasons     waitReasons

	roundRequested bool // something has changed since the last round, so that another round may place more tasks
	lastRound      time.Duration
	counters       Counters
}

// Counters count the events of this process's leaderships since the process started.
type Counters struct {
	Rounds    uint64 // placement rounds
	Starts    uint64 // committed starts of runs
	Stops     uint64 // runs that the owner decided to stop, for any reason
	Losses    uint64 // runs that the owner proposed to declare lost; without lingering runs of gangs
	Refused   uint64 // submits refused because too many jobs had not ended
	Stale     uint64 // submits refused because they were routed by an outdated configuration
	Preempted uint64 // runs stopped for tasks of higher priority
	Stalled   uint64 // runs stopped because they made no progress

	WithdrawalsRefused uint64 // cancels of unknown jobs that were refused
}

// runKey identifies one run of a task.
type runKey struct {
	task jobs.TaskID
	run  uint64
}

// New returns an Owner that isn't the leader yet.
func New(options Options, state *jobs.State) *Owner {
	setDefaults(&options)
	o := &Owner{options: options, state: state}
	o.reset()
	return o
}

// reset drops all state that belongs to one leadership. The counters, and late jobs that TakeLate hasn't returned yet,
// stay.
func (o *Owner) reset() {
	o.planner = placement.NewPlanner(placement.Options{
		NonLocalFactor: o.options.NonLocalFactor,
		StopTime:       o.options.StopTime,
		RestoreTime:    o.options.RestoreTime,
	})
	o.runners = newIncarnations()
	o.pending = newPendingSteps(o.classify)
	o.capacities = map[string]protocol.Resources{}
	o.proposals = newProposals()
	o.reads = confirmedReads{}
	o.headroom = headroom{}
	o.jobFailures = jobFailures{}
	o.reasons.reset(o.leadership.since)
	o.roundRequested = true
	o.lastRound = 0
}

// BecomeLeader starts the ownership. The caller calls it when this process leads the shard and has applied an entry of its
// own term. timeOfDayMs is the process's estimate of the time of day, in ms since 1970.
//
// The election is no confirmation of leadership, because the process may have been frozen and replaced between the
// quorum's votes and this call. The first confirmation comes with a call of Tick.
func (o *Owner) BecomeLeader(now time.Duration, timeOfDayMs int64, term uint64) {
	o.reset()
	o.leadership = leadership{isLeader: true, term: term, since: now, confirmedAt: neverConfirmed}
	o.leadership.setTimeOfDay(now, timeOfDayMs)
	o.reasons.reset(now)
	o.state.EachPending(func(task *jobs.Task) bool {
		o.pending.add(now, task.Group)
		return true
	})
	for _, instance := range o.state.Runners() {
		o.runners.add(o.newRunner(instance, now))
		if address := o.state.AddressOf(instance); address != "" {
			o.runners.byAddress[address] = instance
		}
	}
}

// BecomeFollower ends the ownership and answers all requests that wait for a reply with an error. The error is
// failure.UnknownOutcome for requests in the command in flight, which may still be committed. It is failure.NotLeader
// for all other requests.
func (o *Owner) BecomeFollower() {
	if !o.leadership.isLeader {
		return
	}
	o.leadership.isLeader = false
	notLeader := failure.New(failure.NotLeader, "leadership was lost")
	unknown := failure.New(failure.UnknownOutcome, "leadership was lost before the entry was committed")
	proposals, reads, runners := o.proposals, o.reads, o.runners
	o.reset()
	proposals.pendingReplies.fail(notLeader)
	proposals.inFlightReplies.fail(unknown)
	reads.fail(notLeader)
	for _, r := range runners.current {
		r.respond(nil, notLeader)
	}
}

// IsLeader reports whether this process is the leader, and so the owner, of the shard.
func (o *Owner) IsLeader() bool { return o.leadership.isLeader }

// Counters returns the counts since the process started.
func (o *Owner) Counters() Counters { return o.counters }

// clockMs returns the estimated time of day at now, in ms since 1970. It is never before the shard's clock, which the
// commands of earlier owners may have set ahead of this process's estimate.
func (o *Owner) clockMs(now time.Duration) int64 {
	return max(o.leadership.timeOfDayMsAt(now), o.state.ClockMs())
}
