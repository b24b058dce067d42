package gang

import "fmt"

// Cause is why a gang takes a step. Its text is stored in records.
type Cause string

// The causes.
const (
	Placed               Cause = "placed"             // all members have runners
	AllStarted           Cause = "all started"        // every member has started
	Lost                 Cause = "a member was lost"  // it failed, is unresponsive or started too late, or its runner is gone
	OwnerGone            Cause = "its holder is gone" // and with it the connections to the members; the text calls owners holders
	SaveDue              Cause = "a save is due"
	SaveComplete         Cause = "saved"                // every part is in the register
	SaveCompleteRelocate Cause = "saved, to be moved"   // every part is in the register, and a runner is going to retire
	SaveFailed           Cause = "the save never ended" // SaveTimeout has passed; the last checkpoint stays
	PartDamaged          Cause = "a part is damaged"    // the previous checkpoint is used
	AllEnded             Cause = "every member ended well"
)

// Step is one transition between phases.
type Step struct {
	From  Phase
	Cause Cause
	To    Phase
}

// Table lists all steps. Every write of a record takes one of these steps, except for submitters' writes.
var Table = []Step{
	{Waiting, Placed, Starting},
	{Starting, AllStarted, Running},
	{Starting, Lost, Waiting},
	{Starting, OwnerGone, Waiting},
	{Starting, PartDamaged, Waiting},
	{Running, AllEnded, Done},
	{Running, SaveDue, Saving},
	{Running, Lost, Waiting},
	{Running, OwnerGone, Waiting},
	{Saving, SaveComplete, Running},
	{Saving, SaveCompleteRelocate, Waiting},
	{Saving, SaveFailed, Running},
	{Saving, AllEnded, Done},
	{Saving, Lost, Waiting},
	{Saving, OwnerGone, Waiting},
}

var phases = map[Phase]bool{Waiting: true, Starting: true, Running: true, Saving: true, Done: true}

// next returns the phase to which a cause leads. It panics if Table has no such step.
func next(from Phase, cause Cause) Phase {
	for _, s := range Table {
		if s.From == from && s.Cause == cause {
			return s.To
		}
	}
	panic(fmt.Sprintf("gang: no step in Table from phase %q with cause %q", from, cause))
}
