package simulation

import "time"

// Bounds are the times that the scheduler's rules refer to, and those that the runners follow. They have the names of the
// settings (docs/settings.md). A fault is near a time if it is on then, or was on within Contact before; a calm is a span
// without a fault near it.
type Bounds struct {
	Contact       time.Duration // from the end of a fault until it is not near any more
	AckTimeout    time.Duration // in which a valid change, or a cancel, is acknowledged if no fault is near
	Drain         time.Duration // nothing starts on a runner so long after its `draining` was acknowledged
	ConfigApply   time.Duration // in which a version is followed after its acknowledgement
	RollbackSlack time.Duration // in which a process that follows a version may still show an older one
	MaxSkew       time.Duration // by which clocks are off at most
	Recovery      time.Duration // in which requests are served again after a final fault
	MaxLease      time.Duration // of a runner
	Stop          time.Duration // a stop takes at most
	Gang          time.Duration // a gang's member waits for the others at most
	Cancel        time.Duration // nothing of a job starts so long after its cancel was acknowledged
	Visible       time.Duration // in which a job is known everywhere after its acknowledgement
	Early         time.Duration // by which a repetition may start before it is due
	Finish        time.Duration // from the end of the traffic to the end of the scenario
	Status        time.Duration // for which the state of an ended job is retained
	Save          time.Duration // of work between two checkpoints
	Restore       time.Duration // by which a start from a checkpoint takes longer
	Far           float64       // slowdown of work away from its data, or across racks
}

// DefaultBounds returns those of the users' small deployments.
func DefaultBounds() Bounds {
	return Bounds{
		Contact:       3 * time.Second,
		AckTimeout:    4 * time.Second,
		Drain:         2 * time.Second,
		ConfigApply:   2 * time.Second,
		RollbackSlack: 250 * time.Millisecond,
		MaxSkew:       5 * time.Second,
		Recovery:      12 * time.Second,
		MaxLease:      6 * time.Second,
		Stop:          900 * time.Millisecond,
		Gang:          3 * time.Second,
		Cancel:        3 * time.Second,
		Visible:       3 * time.Second,
		Early:         250 * time.Millisecond,
		Finish:        14 * time.Second,
		Status:        120 * time.Second,
		Save:          2 * time.Second,
		Restore:       600 * time.Millisecond,
		Far:           1.5,
	}
}

// Grace is the time from the signal that asks a process to shut down until it is killed.
const Grace = 6 * time.Second
