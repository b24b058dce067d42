// Package gang schedules gangs. A gang is a group of 2 to 64 long-running jobs, its members, which make progress only while
// all of them run (gang scheduling). The package starts the members together, saves a checkpoint of all of them before their
// runners retire, relocates them to other runners, and after crashes restarts them from the last checkpoint in the register.
//
// # Ownership and safety
//
// The dispatcher that acts for a gang is its owner. Who becomes the owner depends on the view of the fleet, which may be
// wrong, so two dispatchers may both act for a gang. Safety doesn't depend on the view:
//
//   - A gang's record in the register changes only by conditional writes. Each write names the version that it replaces. If
//     two dispatchers write at the same time, one succeeds. The other reads the record and abandons the gang.
//   - Each start of a gang has a new generation, which is written to the record before any member is sent.
//   - The record does not refer to anything from an older generation (a late part of a checkpoint, a late result, a member
//     that still runs), so these have no effect.
//
// # Faults of the register
//
//   - The register is slow: the dispatcher treats a write as done only when its answer has arrived.
//   - The register doesn't answer: running gangs continue, and no record changes.
//   - The register applies a write and the answer is lost: the dispatcher reads the record, and Record.WriteID shows
//     whether the write took effect.
//
// Core has no I/O, clock or goroutine. Its times are wall-clock times, as records outlast processes.
package gang

import (
	"fmt"
	"time"
)

// Phase is the state of a gang in its record.
type Phase string

// The phases. Table lists the steps between them.
const (
	Waiting  Phase = "waiting"  // it waits for runners, to start for the first time or again from its checkpoint
	Starting Phase = "starting" // its members are sent to their runners and start
	Running  Phase = "running"
	Saving   Phase = "saving" // its members write the parts of a checkpoint
	Done     Phase = "done"   // every member of one generation has finished
)

// Ended reports whether the phase is final.
func (p Phase) Ended() bool { return p == Done }

// Need is one member's requirements of its runner.
type Need struct {
	Class string  `json:"class"`
	Kind  string  `json:"kind,omitempty"` // the kind of runner; empty: any
	Slots float64 `json:"slots"`
	// Work is how long the member runs on a runner of speed 1; in JSON, in nanoseconds.
	Work time.Duration `json:"work_ns"`
	// StateBytes is the size of the member's part of a checkpoint, in bytes.
	StateBytes int64 `json:"saved_bytes"`
}

// Checkpoint is a saved state of a complete gang. The register stores its parts, one for each member, under the generation
// and number.
type Checkpoint struct {
	Generation uint64 `json:"generation"`
	Number     int    `json:"number"`
	// Progress is the fraction of the gang's work that had been done when it was saved, 0 to 1.
	Progress float64 `json:"share"`
	// Digests are the digests of the parts, by member.
	Digests []string `json:"digests"`
}

// Owner is a dispatcher that acts for a gang. Epoch identifies its process, as in package fleet.
type Owner struct {
	Name  string `json:"name"`
	Epoch uint64 `json:"life"`
}

// Record is a gang's record in the register, stored as JSON. A submitter writes it in the phase Waiting, with Name, Needs,
// Priority, Due and Submitted. Only dispatchers write the other fields.
type Record struct {
	Name      string    `json:"name"`
	Needs     []Need    `json:"needs"`
	Priority  int       `json:"priority"` // gangs with a higher one are started first
	Due       time.Time `json:"due"`
	Submitted time.Time `json:"submitted"`

	Phase              Phase       `json:"phase"`
	Generation         uint64      `json:"generation"`
	Owner              Owner       `json:"holder"`
	Placement          []string    `json:"placement,omitempty"` // names of the runners, by member
	Checkpoint         *Checkpoint `json:"checkpoint,omitempty"`
	PreviousCheckpoint *Checkpoint `json:"before,omitempty"` // used if a part of Checkpoint is damaged
	SaveNumber         int         `json:"number"`           // of the save under way, or of the last one
	Relocate           bool        `json:"leave"`            // after the save under way the gang is relocated to other runners
	FailedStarts       int         `json:"tries"`            // since the last successful start
	NotBefore          time.Time   `json:"not_before"`       // earliest time of the next start
	Takeovers          int         `json:"taken"`            // number of takeovers by other owners since the last checkpoint
	Cause              Cause       `json:"why,omitempty"`    // of the last step
	// WriteID identifies the write of this version: the writer's name, its epoch and the number of the write, separated by
	// slashes.
	WriteID string `json:"mark"`
}

// The bounds of the number of members of a gang.
const (
	MinMembers = 2
	MaxMembers = 64
)

// RecordError is a fault of a record. Dispatchers don't act for a gang with a faulty record.
type RecordError struct {
	Gang, Field, Problem string
	Fix                  string // the remedy for the submitter
}

// Error names the gang, the field, the problem and the remedy.
func (e *RecordError) Error() string {
	return fmt.Sprintf("gang %q: %s: %s (%s)", e.Gang, e.Field, e.Problem, e.Fix)
}

// Check returns a *RecordError for the first fault of the record, or nil.
func (r *Record) Check() error {
	newError := func(field, problem, fix string) error { return &RecordError{r.Name, field, problem, fix} }
	if r.Name == "" {
		return newError("name", "is empty", "name it")
	}
	if n := len(r.Needs); n < MinMembers || n > MaxMembers {
		return newError("needs", fmt.Sprintf("%d members", n), fmt.Sprintf("a gang has %d to %d", MinMembers, MaxMembers))
	}
	for i, n := range r.Needs {
		field := fmt.Sprintf("needs[%d]", i)
		switch {
		case n.Class == "":
			return newError(field+".class", "is empty", "name a class of the settings")
		case !(n.Slots > 0):
			return newError(field+".slots", fmt.Sprint(n.Slots), "give the number of slots that the member needs, over 0")
		case n.Work <= 0:
			return newError(field+".work_ns", n.Work.String(), "give how long the member runs at speed 1, over 0")
		case n.StateBytes < 0:
			return newError(field+".saved_bytes", fmt.Sprint(n.StateBytes), "give 0 or more")
		}
	}
	if _, isKnown := phases[r.Phase]; !isKnown {
		return newError("phase", fmt.Sprintf("%q is not known", r.Phase), "submit it as waiting")
	}
	if r.Phase != Waiting && !r.Phase.Ended() && len(r.Placement) != len(r.Needs) {
		return newError("placement", fmt.Sprintf("%d runners for %d members", len(r.Placement), len(r.Needs)), "a dispatcher did not write this record; submit the gang again")
	}
	return nil
}

// progress returns the fraction of the work that is done in the checkpoint.
func (r *Record) progress() float64 {
	if r.Checkpoint == nil {
		return 0
	}
	return r.Checkpoint.Progress
}

// work returns the gang's work at speed 1. It is the longest member's work, as all members advance together.
func (r *Record) work() (w time.Duration) {
	for _, n := range r.Needs {
		w = max(w, n.Work)
	}
	return w
}

// stateBytes returns the size of a complete checkpoint, in bytes.
func (r *Record) stateBytes() (n int64) {
	for _, m := range r.Needs {
		n += m.StateBytes
	}
	return n
}
