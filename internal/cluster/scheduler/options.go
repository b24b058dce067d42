package scheduler

import "time"

// Options are the limits that a deployment sets, and times that tests shorten. A field that is zero or negative, or a nil
// function, stands for the default.
type Options struct {
	MaxLease          time.Duration // longest lease that a runner is granted
	StopTime          time.Duration // longest time from a runner's receipt of a stop order to the end of the run
	GangWait          time.Duration // how long a member of a gang waits on its runner for the other members to start
	RestoreTime       time.Duration // extra start-up time of a run that resumes from a checkpoint
	NonLocalFactor    float64       // slowdown of a task outside the rack of its data, or of a rack-local gang across racks
	MaxUnfinishedJobs int           // number of jobs that have not ended from which on the owner refuses submits
	BusyPollInterval  time.Duration // time until a runner's next heartbeat if it has runs or tasks are pending
	IdlePollInterval  time.Duration // time until a runner's next heartbeat otherwise, or through a relay
	MaxReplyDelay     time.Duration // longest time that the reply to a heartbeat is delayed to wait for a commit

	// ServiceOf returns the service to which the newest configuration known to this process assigns a queue, and the
	// version of that configuration. The service is empty if there is no such queue; the version is 0 while no
	// configuration is known.
	ServiceOf func(queue string) (service string, version uint64)
}

const (
	defaultMaxLease          = 6 * time.Second
	defaultStopTime          = time.Second
	defaultGangWait          = 3 * time.Second
	defaultRestoreTime       = 500 * time.Millisecond
	defaultNonLocalFactor    = 1.5
	defaultMaxUnfinishedJobs = 20000
	defaultBusyPollInterval  = 40 * time.Millisecond
	defaultIdlePollInterval  = 100 * time.Millisecond
	defaultMaxReplyDelay     = 60 * time.Millisecond
)

func setDefaults(options *Options) {
	setDuration(&options.MaxLease, defaultMaxLease)
	setDuration(&options.StopTime, defaultStopTime)
	setDuration(&options.GangWait, defaultGangWait)
	setDuration(&options.RestoreTime, defaultRestoreTime)
	setDuration(&options.BusyPollInterval, defaultBusyPollInterval)
	setDuration(&options.IdlePollInterval, defaultIdlePollInterval)
	setDuration(&options.MaxReplyDelay, defaultMaxReplyDelay)
	if options.NonLocalFactor <= 0 {
		options.NonLocalFactor = defaultNonLocalFactor
	}
	if options.MaxUnfinishedJobs <= 0 {
		options.MaxUnfinishedJobs = defaultMaxUnfinishedJobs
	}
	if options.ServiceOf == nil {
		options.ServiceOf = func(string) (string, uint64) { return "", 0 }
	}
}

func setDuration(value *time.Duration, fallback time.Duration) {
	if *value <= 0 {
		*value = fallback
	}
}
