package scheduler

import (
	"time"

	"ospreypond/internal/cluster/jobs"
	"ospreypond/internal/cluster/latency"
	"ospreypond/internal/cluster/protocol"
)

// proposeRetryInterval is the pause after a command that failed, for instance because the leadership was being transferred.
const proposeRetryInterval = 50 * time.Millisecond

// proposals collect the parts of the next command, and track the command in flight, of which there is at most one. A
// command is in flight from its proposal to the shard's log until it is applied or fails.
type proposals struct {
	next            jobs.Command
	pendingReplies  replies                // of the requests in next
	inFlight        *jobs.Command          // nil: none
	inFlightReplies replies                // of the requests in inFlight
	ending          map[runKey]latency.Run // runs with an end or a loss in next or inFlight
	retryAt         time.Duration          // earliest time to propose again after a failure

	nextWithdrawals     int // fences in next that withdraw an id
	inFlightWithdrawals int // fences in inFlight that withdraw an id
}

func newProposals() proposals { return proposals{ending: map[runKey]latency.Run{}} }

func (p *proposals) addSubmit(submit jobs.Submit, reply func(known bool, err error)) {
	p.next.Submits = append(p.next.Submits, submit)
	p.pendingReplies.submits = append(p.pendingReplies.submits, reply)
}

func (p *proposals) addCancel(id string, reply func(err error)) {
	p.next.Cancels = append(p.next.Cancels, id)
	p.pendingReplies.cancels = append(p.pendingReplies.cancels, reply)
}

func (p *proposals) addFence(fence jobs.Fence, reply func(hasJob bool, err error)) {
	p.next.Fences = append(p.next.Fences, fence)
	p.pendingReplies.fences = append(p.pendingReplies.fences, reply)
}

func (p *proposals) addWithdrawal(id string, reply func(hasJob bool, err error)) {
	p.nextWithdrawals++
	p.addFence(jobs.Fence{ID: id, Version: protocol.EveryVersion}, reply)
}

func (p *proposals) addDeparture(instance string, reply func(err error)) {
	p.next.Departures = append(p.next.Departures, instance)
	p.pendingReplies.departures = append(p.pendingReplies.departures, reply)
}

func (p *proposals) addEnd(end jobs.End, run latency.Run) {
	p.ending[runKey{end.Task, end.Run}] = run
	p.next.Ends = append(p.next.Ends, end)
}

func (p *proposals) addLoss(loss jobs.Loss, run latency.Run) {
	p.ending[runKey{loss.Task, loss.Run}] = run
	p.next.Losses = append(p.next.Losses, loss)
}

func (p *proposals) addStart(start jobs.Start) { p.next.Starts = append(p.next.Starts, start) }

// isEnding reports whether the next command or the command in flight has the run's end or loss.
func (p *proposals) isEnding(key runKey) bool {
	_, ending := p.ending[key]
	return ending
}

// hasNext reports whether the next command has any part.
func (p *proposals) hasNext() bool {
	c := &p.next
	return len(c.Submits)+len(c.Cancels)+len(c.Fences)+len(c.Ends)+len(c.Losses)+len(c.Starts)+len(c.Departures) > 0
}

// dispatch returns the next command and records that it is in flight.
func (p *proposals) dispatch(timeOfDayMs int64) *jobs.Command {
	command := p.next
	command.TimeOfDayMs = timeOfDayMs
	p.next = jobs.Command{}
	p.inFlight = &command
	p.inFlightReplies, p.pendingReplies = p.pendingReplies, replies{}
	p.inFlightWithdrawals, p.nextWithdrawals = p.nextWithdrawals, 0
	return &command
}

// finish records that the command in flight is finished, and returns the callbacks of its requests.
func (p *proposals) finish() replies {
	waiting := p.inFlightReplies
	p.inFlight = nil
	p.inFlightReplies = replies{}
	p.inFlightWithdrawals = 0
	return waiting
}

// forgetEnding removes from ending the runs that a command ended. The command is no longer in flight.
func (p *proposals) forgetEnding(command *jobs.Command) {
	for _, end := range command.Ends {
		delete(p.ending, runKey{end.Task, end.Run})
	}
	for _, loss := range command.Losses {
		delete(p.ending, runKey{loss.Task, loss.Run})
	}
}

// NextCommand returns the next command to propose, or nil. It runs a placement round first if one is due. Only one command
// is in flight at a time: the caller must report its outcome by Applied or Failed before NextCommand returns another.
func (o *Owner) NextCommand(now time.Duration) *jobs.Command {
	if !o.leadership.isLeader || o.proposals.inFlight != nil || now < o.proposals.retryAt {
		return nil
	}
	o.round(now)
	if !o.proposals.hasNext() && !o.isRepetitionDue(now) {
		return nil
	}
	o.addRunnerAddresses()
	return o.proposals.dispatch(o.clockMs(now))
}

// isRepetitionDue reports whether the time of a job's next repetition has come. Any command, even an empty one, advances
// the shard's clock and thereby makes the tasks of the repetition pending.
func (o *Owner) isRepetitionDue(now time.Duration) bool {
	due, ok := o.state.NextDueMs()
	return ok && due <= o.clockMs(now)
}

// addRunnerAddresses adds to the next command the addresses of the runners in its starts, unless the shard has them
// already. With the address, a later owner can tell that a new incarnation there has replaced the runner.
func (o *Owner) addRunnerAddresses() {
	next := &o.proposals.next
	added := map[string]bool{}
	for i := range next.Starts {
		instance := next.Starts[i].Runner
		r := o.runners.current[instance]
		if r == nil || added[instance] || r.report.Address == "" || o.state.AddressOf(instance) == r.report.Address {
			continue
		}
		added[instance] = true
		next.RunnerAddresses = append(next.RunnerAddresses, jobs.RunnerAddress{Runner: instance, Address: r.report.Address})
	}
}

// Applied reports that the command in flight was committed and applied, with its effects. It replies to the requests in the
// command. It does nothing after the leadership has ended.
func (o *Owner) Applied(now time.Duration, command *jobs.Command, effects *jobs.Effects) {
	if !o.leadership.isLeader || o.proposals.inFlight == nil {
		return
	}
	waiting := o.proposals.finish()
	o.recordApplied(now, command, effects)
	o.proposals.forgetEnding(command)
	o.countStarts(now, command)
	waiting.succeed(effects)
	o.stopBrokenGangs(effects)
	o.roundRequested = true
}

// Failed reports that the command in flight was not proposed, or that its outcome will not become known. It replies err
// to the requests in the command. NextCommand returns nil for proposeRetryInterval after it.
func (o *Owner) Failed(now time.Duration, command *jobs.Command, err error) {
	if !o.leadership.isLeader || o.proposals.inFlight == nil {
		return
	}
	waiting := o.proposals.finish()
	o.proposals.forgetEnding(command)
	o.proposals.retryAt = now + proposeRetryInterval
	waiting.fail(err)
	o.roundRequested = true
}

// countStarts counts the starts of an applied command that took effect, and records the time of their commit.
func (o *Owner) countStarts(now time.Duration, command *jobs.Command) {
	for _, start := range command.Starts {
		task := o.state.Task(start.Task)
		if task == nil || task.Run != start.Run || task.Runner != start.Runner {
			continue
		}
		o.counters.Starts++
		if r := o.runners.current[start.Runner]; r != nil {
			r.startedAt[runKey{start.Task, start.Run}] = now
		}
	}
}
