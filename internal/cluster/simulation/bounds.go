package simulation

import "time"

// Bounds are the times in the scheduler's rules, and the times that the runners follow. They have the names of the
// scheduler's settings (docs/settings.md).
//
// Many rules hold only where no fault can excuse a violation. Two terms describe this:
//   - A machine is undisturbed at a time if no fault of this machine and none of the control plane is on at that time, and
//     none has ended within Contact before it.
//   - A span is fault-free if no fault, on whatever machine or runner, is on in the span or within Contact before its start.
//     Planned events such as changes of the configuration are not faults.
type Bounds struct {
	Contact       time.Duration // after the end of a fault, its effects are excused for so long
	AckTimeout    time.Duration // in a fault-free span, a valid change or a cancel is acknowledged this long after it was sent
	Drain         time.Duration // from the acknowledgement of a runner's state `draining` to the last start on that runner
	ConfigApply   time.Duration // from a version's acknowledgement until all undisturbed machines follow it
	RollbackSlack time.Duration // after a process showed a version, it may show an older one for so long
	MaxSkew       time.Duration // the largest deviation of a machine's time of day from the true time
	Recovery      time.Duration // from the restart after a final fault until requests are served again
	MaxLease      time.Duration // the longest lease of a runner
	Stop          time.Duration // the longest time that a runner takes to stop a run
	Gang          time.Duration // the longest time that a gang's member waits for the other members
	Cancel        time.Duration // from a cancel's acknowledgement to the last start of a task of that job
	Visible       time.Duration // from a job's acceptance until every machine knows the job
	Early         time.Duration // a repetition may start at most this long before it is due
	Finish        time.Duration // from the end of the traffic to the end of the scenario
	Status        time.Duration // the state of a job is retained for so long after the job has ended
	Save          time.Duration // from one checkpoint of a run to the next
	Restore       time.Duration // from a start with a checkpoint until the run continues its work
	Far           float64       // work takes this factor longer away from its data, or for a gang on more than one rack
}

// DefaultBounds returns the bounds of the users' small deployments.
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

// Grace is how long a process may take to shut down: the platform kills it so long after the signal that asks it to.
const Grace = 6 * time.Second
