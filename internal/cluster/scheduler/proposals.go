package scheduler

import (
	"time"

	"ospreypond/internal/cluster/jobs"
	"ospreypond/internal/cluster/latency"
)

// proposeRetryInterval is the time after a command that could not be proposed, as during a transfer of leadership.
const proposeRetryInterval = 50 * time.Millisecond

// proposals collect the next command, and track the one that is in flight: one at a time.
type proposals struct {
	next            jobs.Command
	pendingReplies  replies // for next
	inFlight        *jobs.Command
	inFlightReplies replies                // for inFlight
	ending          map[runKey]latency.Run // runs whose end or loss is in next or inFlight
	retryAt         time.Duration          // no command is proposed before this, after one could not be
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

// isEnding reports whether a run's end or loss is in the next command or in the one in flight.
func (p *proposals) isEnding(key runKey) bool {
	_, ending := p.ending[key]
	return ending
}

// hasNext reports whether there is something to propose.
func (p *proposals) hasNext() bool {
	c := &p.next
	return len(c.Submits)+len(c.Cancels)+len(c.Fences)+len(c.Ends)+len(c.Losses)+len(c.Starts)+len(c.Departures) > 0
}

// send returns the next command, which is in flight from now on.
func (p *proposals) send(timeOfDayMs int64) *jobs.Command {
	command := p.next
	command.TimeOfDayMs = timeOfDayMs
	p.next = jobs.Command{}
	p.inFlight = &command
	p.inFlightReplies, p.pendingReplies = p.pendingReplies, replies{}
	return &command
}

// finish records that no command is in flight any more, and returns the replies that are owed for it.
func (p *proposals) finish() replies {
	owed := p.inFlightReplies
	p.inFlight = nil
	p.inFlightReplies = replies{}
	return owed
}

// forgetEnding forgets the ends and losses of a command that is no longer in flight.
func (p *proposals) forgetEnding(command *jobs.Command) {
	for _, end := range command.Ends {
		delete(p.ending, runKey{end.Task, end.Run})
	}
	for _, loss := range command.Losses {
		delete(p.ending, runKey{loss.Task, loss.Run})
	}
}

// NextCommand returns the next command to propose, or nil. One command is in flight at a time: the caller reports its
// outcome by Applied or Failed.
func (o *Owner) NextCommand(now time.Duration) *jobs.Command {
	if !o.leadership.isLeader || o.proposals.inFlight != nil || now < o.proposals.retryAt {
		return nil
	}
	o.round(now)
	if !o.proposals.hasNext() && !o.isRepetitionDue(now) {
		return nil
	}
	o.addRunnerAddresses()
	return o.proposals.send(o.clockMs(now))
}

// isRepetitionDue reports whether a repetition has fallen due: any command moves the shard's clock and so opens it.
func (o *Owner) isRepetitionDue(now time.Duration) bool {
	due, ok := o.state.NextDueMs()
	return ok && due <= o.clockMs(now)
}

// addRunnerAddresses adds to the next command the addresses of the runners on which it starts something for the first
// time.
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

// Applied is called once the command in flight is committed and applied, with what it changed. It sends the replies that
// waited for it, and is ignored after leadership has ended.
func (o *Owner) Applied(now time.Duration, command *jobs.Command, effects *jobs.Effects) {
	if !o.leadership.isLeader || o.proposals.inFlight == nil {
		return
	}
	owed := o.proposals.finish()
	o.recordApplied(now, command, effects)
	o.proposals.forgetEnding(command)
	o.countStarts(now, command)
	owed.succeed(effects)
	o.stopBrokenGangs(effects)
	o.roundRequested = true
}

// Failed is called when the outcome of the command in flight will not be known, or when it was not proposed at all; err is
// the reply to all that waited for it. The next command is proposed after proposeRetryInterval at the earliest.
func (o *Owner) Failed(now time.Duration, command *jobs.Command, err error) {
	if !o.leadership.isLeader || o.proposals.inFlight == nil {
		return
	}
	owed := o.proposals.finish()
	o.proposals.forgetEnding(command)
	o.proposals.retryAt = now + proposeRetryInterval
	owed.fail(err)
	o.roundRequested = true
}

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
