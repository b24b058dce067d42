// Package gang decides on gangs: 2 to 64 long jobs that only advance while all of them run. It starts a gang's members
// together, saves a checkpoint of all of them before runners retire, relocates them to runners that stay, and after crashes goes on
// from what the register and the runners still have.
//
// # Who acts, and what is safe
//
// The dispatcher that acts for a gang is its owner; which one that is follows the view of the fleet, which may be wrong. Safety does
// not depend on it: a gang's record in the register changes by conditional writes alone, each of which names the version that it
// follows, and every start of a gang has a generation of its own, written before any member is sent. Of two dispatchers that both
// act, one write wins; the other one reads the record and abandons the gang. What belongs to an older generation (a late part of a
// checkpoint, a late end, a runner that still runs) is in no record and has no effect.
//
// The register may be slow: nothing is assumed until the answer is there. It may be unresponsive: gangs run on as they are, and no
// record changes. It may apply a write and lose the answer: the record is read, and the id of its last write shows whether this one
// took effect.
//
// Core has no I/O, clock or goroutine. Its times are Unix time, as records outlast processes.
package gang

import (
	"fmt"
	"time"
)

// Phase is a gang's state in its record.
type Phase string

// The phases. Table has the steps between them.
const (
	Waiting  Phase = "waiting"  // for runners, at first or to go on from its checkpoint
	Starting Phase = "starting" // its members are sent to their runners
	Running  Phase = "running"
	Saving   Phase = "saving" // its members write the parts of a checkpoint
	Done     Phase = "done"   // every member of one generation finished
)

// Ended reports whether no step leads on from the phase.
func (p Phase) Ended() bool { return p == Done }

// Need is what one member requires of its runner.
type Need struct {
	Class string  `json:"class"`
	Kind  string  `json:"kind,omitempty"` // of the runner; empty: any
	Slots float64 `json:"slots"`
	// Work is how long it runs on a runner of speed 1; in JSON, nanoseconds.
	Work time.Duration `json:"work_ns"`
	// StateBytes is the size of its part of a checkpoint.
	StateBytes int64 `json:"saved_bytes"`
}

// Checkpoint is a saved state of a complete gang. The register has its parts, one a member, under the generation and the number.
type Checkpoint struct {
	Generation uint64 `json:"generation"`
	Number     int    `json:"number"`
	// Progress is the fraction of the gang's work that is done in it, 0 to 1.
	Progress float64 `json:"share"`
	// Digests are those of the parts, by member.
	Digests []string `json:"digests"`
}

// Owner is a dispatcher that acts for a gang. Epoch identifies its process, as in package fleet.
type Owner struct {
	Name  string `json:"name"`
	Epoch uint64 `json:"life"`
}

// Record is a gang's record in the register, as JSON: its keys are the stored form. A submitter writes it in phase waiting, with
// Needs, Priority, Due and Submitted; the other fields are the dispatchers'.
type Record struct {
	Name      string    `json:"name"`
	Needs     []Need    `json:"needs"`
	Priority  int       `json:"priority"` // higher goes first
	Due       time.Time `json:"due"`
	Submitted time.Time `json:"submitted"`

	Phase              Phase       `json:"phase"`
	Generation         uint64      `json:"generation"`
	Owner              Owner       `json:"holder"`
	Placement          []string    `json:"placement,omitempty"` // runners, by member
	Checkpoint         *Checkpoint `json:"checkpoint,omitempty"`
	PreviousCheckpoint *Checkpoint `json:"before,omitempty"` // for when a part of Checkpoint is damaged
	SaveNumber         int         `json:"number"`           // of the save under way, or of the last one
	Relocate           bool        `json:"leave"`            // after the save under way the gang waits for other runners
	FailedStarts       int         `json:"tries"`            // since the last start that succeeded
	NotBefore          time.Time   `json:"not_before"`       // no start before then
	Takeovers          int         `json:"taken"`            // by other owners since the last checkpoint
	Cause              Cause       `json:"why,omitempty"`    // of the last step
	// WriteID identifies the write of this version, by the writer's name, epoch and count.
	WriteID string `json:"mark"`
}

// The bounds of a gang's number of members.
const (
	MinMembers = 2
	MaxMembers = 64
)

// RecordError is a fault of a record that no dispatcher can act on.
type RecordError struct {
	Gang, Field, Problem string
	Fix                  string // what the submitter can do
}

// Error names the gang, the field, the problem and the remedy.
func (e *RecordError) Error() string {
	return fmt.Sprintf("gang %q: %s: %s (%s)", e.Gang, e.Field, e.Problem, e.Fix)
}

// Check returns a *RecordError with the first fault of a record, or nil.
func (r *Record) Check() error {
	newError := func(field, problem, fix string) error { return &RecordError{r.Name, field, problem, fix} }
	if r.Name == "" {
		return newError("name", "is empty", "name it")
	}
	if n := len(r.Needs); n < MinMembers || n > MaxMembers {
		return newError("needs", fmt.Sprintf("%d members", n), fmt.Sprintf("%d to %d are a gang", MinMembers, MaxMembers))
	}
	for i, n := range r.Needs {
		field := fmt.Sprintf("needs[%d]", i)
		switch {
		case n.Class == "":
			return newError(field+".class", "is empty", "name a class of the settings")
		case !(n.Slots > 0):
			return newError(field+".slots", fmt.Sprint(n.Slots), "give what it takes, over 0")
		case n.Work <= 0:
			return newError(field+".work_ns", n.Work.String(), "give how long it runs at speed 1")
		case n.StateBytes < 0:
			return newError(field+".saved_bytes", fmt.Sprint(n.StateBytes), "give 0 or more")
		}
	}
	if _, isKnown := phases[r.Phase]; !isKnown {
		return newError("phase", fmt.Sprintf("%q is not known", r.Phase), "submit it as waiting")
	}
	if r.Phase != Waiting && !r.Phase.Ended() && len(r.Placement) != len(r.Needs) {
		return newError("placement", fmt.Sprintf("%d runners for %d members", len(r.Placement), len(r.Needs)), "it was not written by a dispatcher; submit the gang anew")
	}
	return nil
}

// progress returns the fraction of the work that the checkpoint has.
func (r *Record) progress() float64 {
	if r.Checkpoint == nil {
		return 0
	}
	return r.Checkpoint.Progress
}

// work returns the longest member's work at speed 1, as all advance together.
func (r *Record) work() (w time.Duration) {
	for _, n := range r.Needs {
		w = max(w, n.Work)
	}
	return w
}

// stateBytes returns the size of a complete checkpoint.
func (r *Record) stateBytes() (n int64) {
	for _, m := range r.Needs {
		n += m.StateBytes
	}
	return n
}
