package scheduler

import (
	"time"

	"ospreypond/internal/cluster/failure"
	"ospreypond/internal/cluster/jobs"
	"ospreypond/internal/cluster/placement"
	"ospreypond/internal/cluster/protocol"
)

// Owner decides for one shard while its process leads it. It is used by one goroutine.
type Owner struct {
	options Options
	state   *jobs.State
	planner *placement.Planner

	leadership leadership
	runners    incarnations
	pending    pendingSteps
	capacities map[string]protocol.Resources // of the schedulable runners of each service, at its latest round
	proposals  proposals
	reads      confirmedReads
	headroom   headroom
	faults     jobFaults
	reasons    waitReasons

	roundRequested bool // something changed that a round may use
	lastRound      time.Duration
	counters       Counters
}

// Counters count what the owner did since the process started.
type Counters struct {
	Rounds    uint64 // of placement
	Starts    uint64 // of runs, committed
	Stops     uint64 // of runs, ordered
	Losses    uint64 // of runs, proposed
	Refused   uint64 // submits, since too many jobs had not ended
	Stale     uint64 // submits by an outdated configuration
	Preempted uint64 // runs stopped for others
	Stalled   uint64 // runs stopped since they made no progress
}

// runKey identifies a run.
type runKey struct {
	task jobs.TaskID
	run  uint64
}

// New returns an owner that does not lead yet.
func New(options Options, state *jobs.State) *Owner {
	setDefaults(&options)
	o := &Owner{options: options, state: state}
	o.reset()
	return o
}

// reset drops all that belongs to one leadership. Counters and the late jobs that were not taken yet stay.
func (o *Owner) reset() {
	o.planner = placement.NewPlanner(placement.Options{
		FarFactor: o.options.FarFactor,
		StopTime:  o.options.StopTime,
		Restore:   o.options.Restore,
	})
	o.runners = newIncarnations()
	o.pending = newPendingSteps(o.classify)
	o.capacities = map[string]protocol.Resources{}
	o.proposals = newProposals()
	o.reads = confirmedReads{}
	o.headroom = headroom{}
	o.faults = jobFaults{}
	o.reasons.reset(o.leadership.since)
	o.roundRequested = true
	o.lastRound = 0
}

// BecomeLeader is called when this process leads the shard and has applied an entry of its own term. timeOfDayMs is its
// estimate of the time of day, in ms since 1970. A process may have been frozen, and replaced, between the quorum's votes
// and this call: so there is no confirmation of leadership until Tick brings one.
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

// BecomeFollower is called when leadership ends. All that is unanswered is answered by an error: what is in flight by
// failure.UnknownOutcome, the rest by failure.NotLeader.
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

// IsLeader reports whether this process leads the shard, and so owns it.
func (o *Owner) IsLeader() bool { return o.leadership.isLeader }

// Counters returns what was counted since the process started.
func (o *Owner) Counters() Counters { return o.counters }

// clockMs returns the estimated time of day at now, which is never before the shard's clock.
func (o *Owner) clockMs(now time.Duration) int64 {
	return max(o.leadership.timeOfDayMsAt(now), o.state.ClockMs())
}
