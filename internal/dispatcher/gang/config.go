package gang

import (
	"fmt"
	"time"
)

// Config configures a core. All dispatchers of a fleet should have the same but for Self.
type Config struct {
	// Self is this dispatcher.
	Self Owner
	// StartTimeout is the longest time that the start of all members may take, checkpoint included; then the start has failed.
	StartTimeout time.Duration
	// MemberTimeout is how long ago the last contact of a member that started may be; then the member is lost.
	MemberTimeout time.Duration
	// Bandwidth is how much of checkpoints the register takes from the fleet, in bytes per second.
	Bandwidth float64
	// Margin is kept between the end of a save and the retirement that it is for.
	Margin time.Duration
	// CheckpointInterval is the time between two periodic saves of a running gang; 0: it is saved before retirements only.
	CheckpointInterval time.Duration
	// SaveTimeout is the longest time that a save may take.
	SaveTimeout time.Duration
	// Backoff is the wait after a failed start, doubled with each further one up to MaxBackoff.
	Backoff, MaxBackoff time.Duration
	// StarvationTimeout is how long a gang that fits nowhere waits before no less urgent gang is started ahead of it; 0: forever.
	StarvationTimeout time.Duration
	// AgeStep is the time of waiting that raises a gang's priority by one; 0: waiting does not.
	AgeStep time.Duration
	// ZonePenalty is the fraction by which a member outside the gang's zone costs more.
	ZonePenalty float64
	// MaxGangs is the largest number of gangs in the register, MaxMoves of starts and saves of one dispatcher at once.
	MaxGangs, MaxMoves int
	// RetirePolicy is when gangs are saved before retirements.
	RetirePolicy Policy
}

// Policy is when a gang is saved before its runners retire.
type Policy uint8

// The policies. The last two are the baselines that Latest is measured against.
const (
	Latest Policy = iota // as late as the register's bandwidth allows, one after another
	AtOnce               // all when the retirement is announced
	Never                // not at all: the last periodic checkpoint is used
)

// ConfigError is a fault of a configuration.
type ConfigError struct{ Field, Problem string }

// Error names the field and the problem.
func (e *ConfigError) Error() string { return "gang: " + e.Field + ": " + e.Problem }

// LimitError is a limit that was reached. Nothing is lost by it: the record stays in the register.
type LimitError struct {
	Gang, Bound string
	Limit       int
	Fix         string // what an operator can do
}

// Error names the gang, the bound and the remedy.
func (e *LimitError) Error() string {
	return fmt.Sprintf("gang %q: %s is at its bound of %d (%s)", e.Gang, e.Bound, e.Limit, e.Fix)
}
