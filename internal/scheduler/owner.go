// Package scheduler is what the owner of one shard of jobs decides: which heartbeats are answered with what, which
// held tasks start where, which runs are stopped, and which can no longer exist. It is pure: inputs and the steady time
// go in; commands for the shard's log and replies come out. What must outlast the owner is in package jobs; all that is
// held here is rebuilt by a new owner from the runners' heartbeats.
package scheduler

import (
	"time"

	"ospreypond/internal/failure"
	"ospreypond/internal/jobs"
	"ospreypond/internal/placement"
)

// Options are the bounds that a deployment sets, and the constants that tests shorten.
type Options struct {
	HoldMax     time.Duration // longest hold that a runner grants
	StopTime    time.Duration // longest that a stop takes
	GangWait    time.Duration // how long a gang's members wait for each other
	SaveEvery   time.Duration // work between two checkpoints
	Restore     time.Duration // start-up of a run that resumes
	FarFactor   float64       // slowdown away from the data, or of a gang over several racks
	MaxPending  int           // jobs that have not ended, over which hand-ins are refused
	PollBusy    time.Duration // time to a runner's next heartbeat while there is work for it
	PollIdle    time.Duration // the same while there is none
	AnswerAfter time.Duration // longest that a heartbeat's answer waits for a commit

	// ServiceOf returns the service that the newest configuration known here gives a queue, empty if there is no such
	// queue, and that configuration's version, 0 while none is known.
	ServiceOf func(queue string) (service string, version uint64)
}

// Defaults for what Options leave at zero.
const (
	defaultHold        = 6 * time.Second
	defaultStopTime    = time.Second
	defaultGangWait    = 3 * time.Second
	defaultSaveEvery   = 2 * time.Second
	defaultRestore     = 500 * time.Millisecond
	defaultFarFactor   = 1.5
	defaultMaxPending  = 20000
	defaultPollBusy    = 40 * time.Millisecond
	defaultPollIdle    = 100 * time.Millisecond
	defaultAnswerAfter = 60 * time.Millisecond
)

const (
	// clockSlack is how much slower than real time a runner's clock may run, with some to spare.
	clockSlack = 1.03
	// confirmationAge is the oldest confirmation of leadership on which a heartbeat is still answered.
	confirmationAge = 900 * time.Millisecond
	// readWait is how long a read waits for a confirmation of leadership.
	readWait = 800 * time.Millisecond
	// proposeAgain is the pause after a command that could not be proposed, as while leadership is being given away.
	proposeAgain = 50 * time.Millisecond
	// roundGap is the least time between two rounds of placement.
	roundGap = 10 * time.Millisecond
	// roundAgain is the longest time between two rounds while tasks are held.
	roundAgain = 200 * time.Millisecond
)

// Owner is the owner of one shard. It is used by one goroutine.
type Owner struct {
	options Options
	state   *jobs.State
	planner *placement.Planner

	leading     bool
	term        uint64
	ledAt       time.Duration // when this leadership began
	confirmedAt time.Duration
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

	ending  map[runKey]bool    // runs whose end or loss is in next or inFlight
	demands map[string]*demand // urgent work by service

	notBefore time.Duration // no command is proposed before this, after one could not be
	dirty     bool          // something changed that a round may use
	lastRound time.Duration
	failedOn  map[string]map[string]bool
	counters  Counters
}

// Counters count what the owner did since the process started.
type Counters struct {
	Rounds, Starts, Stops, Losses, Refused, Stale, Preempted, Stalled uint64
}

// New returns an owner that does not lead yet.
func New(options Options, state *jobs.State) *Owner {
	setDefaults(&options)
	o := &Owner{options: options, state: state}
	o.forget()
	return o
}

func setDefaults(options *Options) {
	setDuration(&options.HoldMax, defaultHold)
	setDuration(&options.StopTime, defaultStopTime)
	setDuration(&options.GangWait, defaultGangWait)
	setDuration(&options.SaveEvery, defaultSaveEvery)
	setDuration(&options.Restore, defaultRestore)
	setDuration(&options.PollBusy, defaultPollBusy)
	setDuration(&options.PollIdle, defaultPollIdle)
	setDuration(&options.AnswerAfter, defaultAnswerAfter)
	if options.FarFactor <= 0 {
		options.FarFactor = defaultFarFactor
	}
	if options.MaxPending <= 0 {
		options.MaxPending = defaultMaxPending
	}
	if options.ServiceOf == nil {
		options.ServiceOf = func(string) (string, uint64) { return "", 0 }
	}
}

func setDuration(value *time.Duration, standard time.Duration) {
	if *value <= 0 {
		*value = standard
	}
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
	o.ending = map[runKey]bool{}
	o.demands = map[string]*demand{}
	o.failedOn = map[string]map[string]bool{}
	o.dirty = true
	o.notBefore = 0
	o.lastRound = 0
}

// Lead is called when this process leads the shard and has applied an entry of its own term. timeOfDayMs is its
// estimate of the time, ms since 1970.
func (o *Owner) Lead(now time.Duration, timeOfDayMs int64, term uint64) {
	o.forget()
	o.leading = true
	o.term = term
	o.ledAt = now
	o.confirmedAt = now
	o.setTimeOfDay(now, timeOfDayMs)
	for _, instance := range o.state.Runners() {
		o.runners[instance] = o.newRunner(instance, now)
		if place := o.state.PlaceOf(instance); place != "" {
			o.byPlace[place] = instance
		}
	}
}

// Follow is called when leadership ends. Whatever waits is told so: what is in doubt as UnknownOutcome.
func (o *Owner) Follow() {
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

// Take returns the next command to propose, or nil. One command is in flight at a time: the shell reports it by Applied
// or Failed.
func (o *Owner) Take(now time.Duration) *jobs.Command {
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
	return len(c.Submits)+len(c.Cancels)+len(c.Fences)+len(c.Ends)+len(c.Losses)+len(c.Starts) > 0 || c.TimeOfDayMs > 0
}

// addPlaces tells the shard where the runners stand to which something is to be started for the first time.
func (o *Owner) addPlaces() {
	told := map[string]bool{}
	for i := range o.next.Starts {
		instance := o.next.Starts[i].Runner
		r := o.runners[instance]
		if r == nil || told[instance] || r.report.Address == "" || o.state.PlaceOf(instance) == r.report.Address {
			continue
		}
		told[instance] = true
		o.next.Places = append(o.next.Places, jobs.Place{Runner: instance, Address: r.report.Address})
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

// Tick lets time pass: confirmations that came, replies that are due, holds that are over.
func (o *Owner) Tick(now time.Duration, timeOfDayMs int64, confirmedAt time.Duration) {
	if !o.leading {
		return
	}
	o.confirmedAt = max(o.confirmedAt, confirmedAt)
	if timeOfDayMs > 0 {
		o.setTimeOfDay(now, timeOfDayMs)
	}
	o.endReads(now)
	o.expireHolds(now)
	o.forgetRetired(now)
}

// Flush sends the replies to heartbeats that are due. The shell calls it after Take.
func (o *Owner) Flush(now time.Duration) {
	if !o.leading {
		return
	}
	roundIsDue := o.dirty && o.state.HeldCount() > 0
	settled := o.inFlight == nil && !o.hasNext() && !roundIsDue
	for _, r := range o.runners {
		if r.reply != nil && (settled || now >= r.replyDue) {
			o.answer(now, r)
		}
	}
}

const (
	busyTick = 20 * time.Millisecond
	idleTick = 100 * time.Millisecond
)

// NextDeadline is when Tick is to be called next at the latest.
func (o *Owner) NextDeadline(now time.Duration) time.Duration {
	if !o.leading {
		return now + time.Second
	}
	if len(o.reads) > 0 || o.inFlight != nil || o.hasNext() {
		return now + busyTick
	}
	if o.state.HeldCount() > 0 {
		return now + busyTick
	}
	for _, r := range o.runners {
		if r.reply != nil {
			return now + busyTick
		}
	}
	due, ok := o.state.NextDueMs()
	if ok {
		wait := time.Duration(due-o.clockMs(now)) * time.Millisecond
		return now + min(max(wait, busyTick), idleTick)
	}
	return now + idleTick
}

// WantsConfirmation tells that some read waits for leadership to be confirmed anew.
func (o *Owner) WantsConfirmation() bool { return o.leading && len(o.reads) > 0 }

// runKey names one run.
type runKey struct {
	task jobs.TaskID
	run  uint64
}
