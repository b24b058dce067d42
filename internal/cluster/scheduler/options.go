package scheduler

import "time"

// Options are the limits that a deployment sets, and times that tests shorten. Zero stands for the default.
type Options struct {
	MaxLease          time.Duration // longest lease that a runner is granted
	StopTime          time.Duration // longest time that a stop takes
	GangWait          time.Duration // how long members of a gang wait for each other
	Restore           time.Duration // start-up of a run that resumes from a checkpoint
	FarFactor         float64       // slowdown away from the data, or of a gang that spans racks
	MaxUnfinishedJobs int           // jobs that have not ended, from which submits are refused
	BusyPollInterval  time.Duration // time to a runner's next heartbeat while there may be work for it
	IdlePollInterval  time.Duration // time to a runner's next heartbeat otherwise
	MaxReplyDelay     time.Duration // longest time that the reply to a heartbeat waits for a commit

	// ServiceOf returns the service that the newest configuration known here gives a queue, empty if there is no such
	// queue, and that configuration's version, 0 while none is known.
	ServiceOf func(queue string) (service string, version uint64)
}

const (
	defaultMaxLease          = 6 * time.Second
	defaultStopTime          = time.Second
	defaultGangWait          = 3 * time.Second
	defaultRestore           = 500 * time.Millisecond
	defaultFarFactor         = 1.5
	defaultMaxUnfinishedJobs = 20000
	defaultBusyPollInterval  = 40 * time.Millisecond
	defaultIdlePollInterval  = 100 * time.Millisecond
	defaultMaxReplyDelay     = 60 * time.Millisecond
)

func setDefaults(options *Options) {
	setDuration(&options.MaxLease, defaultMaxLease)
	setDuration(&options.StopTime, defaultStopTime)
	setDuration(&options.GangWait, defaultGangWait)
	setDuration(&options.Restore, defaultRestore)
	setDuration(&options.BusyPollInterval, defaultBusyPollInterval)
	setDuration(&options.IdlePollInterval, defaultIdlePollInterval)
	setDuration(&options.MaxReplyDelay, defaultMaxReplyDelay)
	if options.FarFactor <= 0 {
		options.FarFactor = defaultFarFactor
	}
	if options.MaxUnfinishedJobs <= 0 {
		options.MaxUnfinishedJobs = defaultMaxUnfinishedJobs
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
