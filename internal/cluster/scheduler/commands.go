package scheduler

import (
	"time"

	"ospreypond/internal/cluster/jobs"
)

// NextCommand returns the next command to propose, or nil. One command is in flight at a time: the shell reports it by Applied
// or Failed.
func (o *Owner) NextCommand(now time.Duration) *jobs.Command {
	if !o.leading || o.inFlight != nil || now < o.notBefore {
		return nil
	}
	o.round(now)
	o.addDue(now)
	if !o.hasNext() {
		return nil
	}
	o.addPlaces()
	command := o.next
	command.TimeOfDayMs = o.clockMs(now)
	o.next = jobs.Command{}
	o.inFlight = &command
	o.flying, o.waiting = o.waiting, waitingReplies{}
	return &command
}

func (o *Owner) hasNext() bool {
	c := &o.next
	return len(c.Submits)+len(c.Cancels)+len(c.Fences)+len(c.Ends)+len(c.Losses)+len(c.Starts)+len(c.Departures) > 0 || c.TimeOfDayMs > 0
}

// addPlaces tells the shard where the runners stand to which something is to be started for the first time.
func (o *Owner) addPlaces() {
	told := map[string]bool{}
	for i := range o.next.Starts {
		instance := o.next.Starts[i].Runner
		r := o.runners[instance]
		if r == nil || told[instance] || r.report.Address == "" || o.state.AddressOf(instance) == r.report.Address {
			continue
		}
		told[instance] = true
		o.next.RunnerAddresses = append(o.next.RunnerAddresses, jobs.RunnerAddress{Runner: instance, Address: r.report.Address})
	}
}

// addDue asks for a command that moves the shard's clock when a repetition has fallen due.
func (o *Owner) addDue(now time.Duration) {
	due, ok := o.state.NextDueMs()
	if ok && due <= o.clockMs(now) {
		o.next.TimeOfDayMs = o.clockMs(now)
	}
}

// Applied is called for each command that the state machine has applied while this process leads.
func (o *Owner) Applied(now time.Duration, command *jobs.Command, effects *jobs.Effects, own bool) {
	if !o.leading || !own || o.inFlight == nil {
		return
	}
	flying := o.flying
	o.inFlight = nil
	o.flying = waitingReplies{}
	o.account(now, command, effects)
	o.settleEnds(command)
	o.countStarts(now, command)
	flying.succeed(effects)
	o.stopBrokenGangs(now, effects)
	o.dirty = true
}

// Failed is called when a command's outcome will not be known, or when it was not proposed at all.
func (o *Owner) Failed(now time.Duration, command *jobs.Command, err error) {
	if !o.leading || o.inFlight == nil {
		return
	}
	flying := o.flying
	o.inFlight = nil
	o.flying = waitingReplies{}
	o.settleEnds(command)
	o.notBefore = now + proposeAgain
	flying.fail(err)
	o.dirty = true
}

func (o *Owner) settleEnds(command *jobs.Command) {
	for _, end := range command.Ends {
		delete(o.ending, runKey{end.Task, end.Run})
	}
	for _, loss := range command.Losses {
		delete(o.ending, runKey{loss.Task, loss.Run})
	}
}

func (o *Owner) countStarts(now time.Duration, command *jobs.Command) {
	for _, start := range command.Starts {
		task := o.state.Task(start.Task)
		if task == nil || task.Run != start.Run || task.Runner != start.Runner {
			continue
		}
		o.counters.Starts++
		if r := o.runners[start.Runner]; r != nil {
			r.ordered[runKey{start.Task, start.Run}] = now
		}
	}
}
