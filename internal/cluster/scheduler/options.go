package scheduler

import "time"

// Options are the bounds that a deployment sets, and the constants that tests shorten.
type Options struct {
	MaxLease    time.Duration // longest hold that a runner grants
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
	// neverConfirmed is a time before all confirmations that count.
	neverConfirmed = -confirmationAge
	// readWait is how long a read waits for a confirmation of leadership.
	readWait = 800 * time.Millisecond
	// proposeAgain is the pause after a command that could not be proposed, as while leadership is being given away.
	proposeAgain = 50 * time.Millisecond
	// roundGap is the least time between two rounds of placement.
	roundGap = 10 * time.Millisecond
	// roundAgain is the longest time between two rounds while tasks are held.
	roundAgain = 200 * time.Millisecond
)

func setDefaults(options *Options) {
	setDuration(&options.MaxLease, defaultHold)
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
