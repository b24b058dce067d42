package gang

import (
	"fmt"
	"time"
)

// Config is what all dispatchers of a fleet have in common.
type Config struct {
	// Me is this dispatcher in this life.
	Self Owner
	// Start is how long a member takes to start from its state at the longest; more is a failed start.
	StartTimeout time.Duration
	// Silence is how long a member that began may say nothing; longer, and it is lost.
	MemberTimeout time.Duration
	// Bandwidth is what the register takes of saved state, in bytes a second, from the whole fleet together.
	Bandwidth float64
	// Margin is kept between the end of a save and the retirement that it is for.
	Margin time.Duration
	// Every is how often a running gang saves its state for crashes; 0: for retirements only.
	CheckpointInterval time.Duration
	// SaveTimeout is how long a save may take at the longest.
	SaveTimeout time.Duration
	// Backoff is the wait after a start that failed, doubled with each up to MaxBackoff.
	Backoff, MaxBackoff time.Duration
	// Starve is how long a gang that fits nowhere waits until nothing that comes after it is placed before it.
	StarvationTimeout time.Duration
	// AgeStep is the wait that raises a gang's priority by one.
	AgeStep time.Duration
	// Apart is what a member in another zone than most makes a placement dearer by, as a share of its time.
	ZonePenalty float64
	// MaxGangs bounds what is taken up; MaxMoves the gangs that one dispatcher starts or saves at once.
	MaxGangs, MaxMoves int
	// Retire says when states are saved before retirements.
	RetirePolicy Policy
}

// Policy says when a gang's state is saved before its runners retire.
type Policy uint8

// The policies. The last two are the plain ones that the first is measured against.
const (
	Latest Policy = iota // as late as is safe, one after another, so that the register's bandwidth suffices
	AtOnce               // all at the announcement
	Never                // not at all: the last periodic save is used
)

// ConfigError names the field that no core can work with.
type ConfigError struct{ Field, Problem string }

// Error names the field and the problem.
func (e *ConfigError) Error() string { return "gang: " + e.Field + ": " + e.Problem }

// LimitError is a bound that was reached; nothing is lost by it.
type LimitError struct {
	Gang, Bound string
	Limit       int
	Fix         string // what an operator can do
}

// Error names the gang, the bound and the remedy.
func (e *LimitError) Error() string {
	return fmt.Sprintf("gang %q: %s is at its bound of %d (%s)", e.Gang, e.Bound, e.Limit, e.Fix)
}
