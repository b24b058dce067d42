package gang

import (
	"fmt"
	"time"
)

// Config configures a core. All dispatchers of a fleet should have the same values except for Self.
type Config struct {
	// Self is this dispatcher.
	Self Owner
	// StartTimeout is the longest time that all members may take to start, including reading their parts of the checkpoint.
	// After it the start has failed.
	StartTimeout time.Duration
	// MemberTimeout is the time without any event of a started member after which the member is lost.
	MemberTimeout time.Duration
	// Bandwidth is the rate at which the register takes checkpoints from the whole fleet, in bytes per second.
	Bandwidth float64
	// Margin is the planned time between the end of a save and the retirement that the save is for.
	Margin time.Duration
	// CheckpointInterval is the time between two periodic saves of a running gang. 0: gangs are saved only before retirements.
	CheckpointInterval time.Duration
	// SaveTimeout is the longest time that a save may take.
	SaveTimeout time.Duration
	// Backoff is the wait after a failed start. It is doubled with each further failed start, up to MaxBackoff.
	Backoff, MaxBackoff time.Duration
	// StarvationTimeout is how long a gang that fits nowhere waits until no less urgent gang is started before it. 0: less
	// urgent gangs may always be started before it.
	StarvationTimeout time.Duration
	// AgeStep is the waiting time that raises a gang's priority by one. 0: waiting does not raise it.
	AgeStep time.Duration
	// ZonePenalty raises the cost of a member by this fraction on a runner outside the gang's zone.
	ZonePenalty float64
	// MaxGangs is the largest number of gangs that a core keeps. MaxMoves is the number of starts and saves of one dispatcher
	// under way at which it begins no further start or periodic save; saves for retirements begin all the same.
	MaxGangs, MaxMoves int
	// RetirePolicy says when gangs are saved before retirements.
	RetirePolicy Policy
}

// Policy says when a gang is saved before its runners retire.
type Policy uint8

// The policies. The last two are the baselines that Latest is measured against.
const (
	Latest Policy = iota // as late as the register's bandwidth allows, one gang after another
	AtOnce               // all gangs when the retirement is announced
	Never                // no save: the last periodic checkpoint is used
)

// ConfigError is an invalid field of a Config.
type ConfigError struct{ Field, Problem string }

// Error names the field and the problem.
func (e *ConfigError) Error() string { return "gang: " + e.Field + ": " + e.Problem }

// LimitError says that a gang could not be handled because a limit was reached. No data is lost: the record stays in
// the register.
type LimitError struct {
	Gang, Bound string
	Limit       int
	Fix         string // the remedy for an operator
}

// Error names the gang, the bound and the remedy.
func (e *LimitError) Error() string {
	return fmt.Sprintf("gang %q: %s is at its bound of %d (%s)", e.Gang, e.Bound, e.Limit, e.Fix)
}
