// Package scheduler is what the owner of one shard of jobs decides: which heartbeats are answered with what, which
// held tasks start where, which runs are stopped, and which can no longer exist. It is pure: inputs and the steady time
// go in; commands for the shard's log and replies come out. What must outlast the owner is in package jobs; all that is
// held here is rebuilt by a new owner from the runners' heartbeats.
package scheduler

import (
	"time"

	"ospreypond/internal/cluster/failure"
	"ospreypond/internal/cluster/jobs"
	"ospreypond/internal/cluster/latency"
	"ospreypond/internal/cluster/placement"
)

// Owner is the owner of one shard. It is used by one goroutine.
type Owner struct {
	options Options
	state   *jobs.State
	planner *placement.Planner

	leading     bool
	term        uint64
	ledAt       time.Duration // when this leadership began
	confirmedAt time.Duration // when the newest confirmation of this leadership was asked for
	timeOfDayMs int64
	timeOfDayAt time.Duration

	runners map[string]*runner
	byPlace map[string]string        // address of a runner: instance that stands there
	retired map[string]time.Duration // instances that are certainly over: when that was learnt

	next     jobs.Command // what the next command will hold, rounds apart
	inFlight *jobs.Command
	waiting  waitingReplies // for next
	flying   waitingReplies // for inFlight
	reads    []read

	ending  map[runKey]latency.Run // runs whose end or loss is in next or inFlight
	demands map[string]*demand     // urgent work by service

	notBefore time.Duration // no command is proposed before this, after one could not be
	dirty     bool          // something changed that a round may use
	lastRound time.Duration
	failedOn  map[string]map[string]bool
	counters  Counters
	ledger    *latency.Recorder
	late      []LateJob
}

// Counters count what the owner did since the process started.
type Counters struct {
	Rounds, Starts, Stops, Losses, Refused, Stale, Preempted, Stalled uint64
}

// runKey names one run.
type runKey struct {
	task jobs.TaskID
	run  uint64
}

// New returns an owner that does not lead yet.
func New(options Options, state *jobs.State) *Owner {
	setDefaults(&options)
	o := &Owner{options: options, state: state}
	o.forget()
	return o
}

// forget drops all that belongs to one leadership.
func (o *Owner) forget() {
	o.planner = placement.NewPlanner(placement.Options{
		FarFactor: o.options.FarFactor,
		GangWait:  o.options.GangWait,
		StopTime:  o.options.StopTime,
		SaveEvery: o.options.SaveEvery,
		Restore:   o.options.Restore,
	})
	o.runners = map[string]*runner{}
	o.byPlace = map[string]string{}
	o.retired = map[string]time.Duration{}
	o.next = jobs.Command{}
	o.inFlight = nil
	o.waiting = waitingReplies{}
	o.flying = waitingReplies{}
	o.reads = nil
	o.ending = map[runKey]latency.Run{}
	o.demands = map[string]*demand{}
	o.failedOn = map[string]map[string]bool{}
	o.ledger = latency.NewRecorder(o.ledAt)
	o.dirty = true
	o.notBefore = 0
	o.lastRound = 0
}

// BecomeLeader is called when this process leads the shard and has applied an entry of its own term. timeOfDayMs is its
// estimate of the time, ms since 1970. That it leads says nothing of when: between the quorum's answers and now the
// process may have been frozen, and replaced. So until Tick brings a confirmation there is none.
func (o *Owner) BecomeLeader(now time.Duration, timeOfDayMs int64, term uint64) {
	o.forget()
	o.leading = true
	o.term = term
	o.ledAt = now
	o.ledger = latency.NewRecorder(now)
	o.confirmedAt = neverConfirmed
	o.setTimeOfDay(now, timeOfDayMs)
	for _, instance := range o.state.Runners() {
		o.runners[instance] = o.newRunner(instance, now)
		if place := o.state.AddressOf(instance); place != "" {
			o.byPlace[place] = instance
		}
	}
}

// BecomeFollower is called when leadership ends. Whatever waits is told so: what is in doubt as UnknownOutcome.
func (o *Owner) BecomeFollower() {
	if !o.leading {
		return
	}
	o.leading = false
	notLeader := failure.New(failure.NotLeader, "leadership was lost")
	unknown := failure.New(failure.UnknownOutcome, "leadership was lost before the entry was committed")
	waiting, flying, reads, runners := o.waiting, o.flying, o.reads, o.runners
	o.forget()
	waiting.fail(notLeader)
	flying.fail(unknown)
	for _, r := range reads {
		r.reply(notLeader)
	}
	for _, r := range runners {
		r.answer(nil, notLeader)
	}
}

// Leading tells whether this process owns the shard.
func (o *Owner) Leading() bool { return o.leading }

// Counters returns what was counted.
func (o *Owner) Counters() Counters { return o.counters }

func (o *Owner) setTimeOfDay(now time.Duration, timeOfDayMs int64) {
	o.timeOfDayMs = timeOfDayMs
	o.timeOfDayAt = now
}

// clockMs is the estimated time of day at now.
func (o *Owner) clockMs(now time.Duration) int64 {
	return max(o.timeOfDayMs+(now-o.timeOfDayAt).Milliseconds(), o.state.ClockMs())
}
