// Package gang decides on gangs: 2 to 64 long jobs that only advance while all of them run. It starts a gang's members
// together, has them save their state before runners retire, moves all of them to runners that stay, and takes up after
// crashes whatever the register and the runners still have.
//
// # Who acts, and what is safe
//
// A dispatcher that acts for a gang is its holder; who that is follows the view of the fleet, a guess. Safety does not: the
// gang's record in the register is changed by conditional writes alone, each names the version that it follows, and every
// start of a gang has a generation of its own, written before any member goes out. Of two that believe they act one write
// wins; the other one reads what is there and steps back. What belongs to an older generation (a late state, a late end,
// a runner that goes on) is in no record and takes no effect.
//
// The register may be slow: nothing is assumed until an answer is there. It may be silent: the gang goes on as it is and
// nothing of it changes. It may take a write and lose the answer: the record is read, and the write's own mark in it tells
// whether it took effect.
//
// Core is free of I/O, clocks and goroutines. Its times are Unix time, as records last longer than processes.
package gang

import (
	"fmt"
	"time"
)

// Phase is where a gang stands.
type Phase string

// The phases. Table says what leads from one to another.
const (
	Waiting  Phase = "waiting"  // to be placed, at first or from its checkpoint
	Starting Phase = "starting" // its members go out to their runners
	Running  Phase = "running"
	Saving   Phase = "saving" // its members write their state
	Done     Phase = "done"   // every member of one generation ended well
)

// Ended reports whether the phase is final.
func (p Phase) Ended() bool { return p == Done }

// Need is what one member asks of its runner.
type Need struct {
	Class string  `json:"class"`
	Kind  string  `json:"kind,omitempty"` // of runner; empty: any
	Slots float64 `json:"slots"`
	// Work is how long it runs on a runner of speed 1.
	Work time.Duration `json:"work_ns"`
	// Saved is how many bytes its state takes.
	StateBytes int64 `json:"saved_bytes"`
}

// Checkpoint names one state of a whole gang: the parts are in the register under the generation and the number.
type Checkpoint struct {
	Generation uint64 `json:"generation"`
	Number     int    `json:"number"`
	// Share is how much of the gang's work it holds, 0 to 1.
	Progress float64 `json:"share"`
	// Digests are of each member's part.
	Digests []string `json:"digests"`
}

// Owner is a dispatcher that acts for a gang, in one life.
type Owner struct {
	Name  string `json:"name"`
	Epoch uint64 `json:"life"`
}

// Record is what the register holds of a gang. A submitter writes one in phase waiting, with Needs, Priority, Due and
// Submitted; the rest is the dispatchers'.
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
	PreviousCheckpoint *Checkpoint `json:"before,omitempty"` // the checkpoint before, for when a part is damaged
	SaveNumber         int         `json:"number"`           // of the save that is being written, or was last
	Relocate           bool        `json:"leave"`            // the save is to move the gang: it waits for a place after it
	FailedStarts       int         `json:"tries"`            // starts that failed since one went well
	NotBefore          time.Time   `json:"not_before"`       // no start before
	Takeovers          int         `json:"taken"`            // times that it was taken over since a state of it was saved
	Cause              string      `json:"why,omitempty"`    // of the last step
	// Mark is of the write that made this version: its writer's life and count.
	WriteID string `json:"mark"`
}

// The bounds on what is taken up.
const (
	MinMembers = 2
	MaxMembers = 64
)

// RecordError is a record that no dispatcher can act on.
type RecordError struct {
	Gang, Field, Problem string
	Fix                  string // what the submitter can do
}

// Error names the gang, the field, the problem and the remedy.
func (e *RecordError) Error() string {
	return fmt.Sprintf("gang %q: %s: %s (%s)", e.Gang, e.Field, e.Problem, e.Fix)
}

// Check tells what is wrong with a record as submitted; its error is a *RecordError.
func (r *Record) Check() error {
	bad := func(field, problem, fix string) error { return &RecordError{r.Name, field, problem, fix} }
	if r.Name == "" {
		return bad("name", "is empty", "name it")
	}
	if n := len(r.Needs); n < MinMembers || n > MaxMembers {
		return bad("needs", fmt.Sprintf("%d members", n), fmt.Sprintf("%d to %d are a gang", MinMembers, MaxMembers))
	}
	for i, n := range r.Needs {
		field := fmt.Sprintf("needs[%d]", i)
		switch {
		case n.Class == "":
			return bad(field+".class", "is empty", "name a class of the settings")
		case !(n.Slots > 0):
			return bad(field+".slots", fmt.Sprint(n.Slots), "give what it takes, over 0")
		case n.Work <= 0:
			return bad(field+".work_ns", n.Work.String(), "give how long it runs at speed 1")
		case n.StateBytes < 0:
			return bad(field+".saved_bytes", fmt.Sprint(n.StateBytes), "give 0 or more")
		}
	}
	if _, known := phases[r.Phase]; !known {
		return bad("phase", fmt.Sprintf("%q is not known", r.Phase), "submit it as waiting")
	}
	if r.Phase != Waiting && !r.Phase.Ended() && len(r.Placement) != len(r.Needs) {
		return bad("placement", fmt.Sprintf("%d runners for %d members", len(r.Placement), len(r.Needs)), "it was not written by a dispatcher; submit the gang anew")
	}
	return nil
}

// progress is how much of the work is saved.
func (r *Record) progress() float64 {
	if r.Checkpoint == nil {
		return 0
	}
	return r.Checkpoint.Progress
}

// work is the longest member's, at speed 1: all advance together.
func (r *Record) work() (w time.Duration) {
	for _, n := range r.Needs {
		w = max(w, n.Work)
	}
	return w
}

// stateBytes is how many bytes a whole state takes.
func (r *Record) stateBytes() (n int64) {
	for _, m := range r.Needs {
		n += m.StateBytes
	}
	return n
}
