package simulation

import "time"

// Bounds are the figures that the rules and the runners go by.
type Bounds struct {
	Contact       time.Duration // calm before a time-bounded rule holds
	AckTimeout    time.Duration // time that a proper order of the operator, or a cancel, may take in a calm
	Drain         time.Duration // after a `draining` was acknowledged nothing starts there
	ConfigApply   time.Duration // a version is followed this long after its acknowledgement
	RollbackSlack time.Duration // a version once followed is followed this long after
	MaxSkew       time.Duration // how far clocks jump on days when they do
	Recovery      time.Duration // after a final fault
	MaxLease      time.Duration // longest hold
	Stop          time.Duration // longest stop
	Gang          time.Duration // how long a member waits for the others
	Cancel        time.Duration // after a cancel's acknowledgement nothing of the job starts
	Visible       time.Duration // after a job's acknowledgement its state is known everywhere
	Early         time.Duration // how much too early a time may begin
	Finish        time.Duration // between the end of traffic and the last questions
	Status        time.Duration // how long an ended job's state is kept
	Save          time.Duration // of work between two checkpoints
	Restore       time.Duration // extra time of a start from a checkpoint
	Far           float64       // times as long away from the data, or over racks
}

// DefaultBounds are those of the small deployments.
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

// Grace is the time from the signal that asks a process to end until it is killed.
const Grace = 6 * time.Second
