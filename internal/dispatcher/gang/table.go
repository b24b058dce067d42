package gang

import "fmt"

// Cause is why a gang takes a step. Records have its text.
type Cause string

// The causes.
const (
	Placed               Cause = "placed"             // all members have runners
	AllStarted           Cause = "all started"        // every member has started
	Lost                 Cause = "a member was lost"  // it failed, is unresponsive, or did not start in time
	OwnerGone            Cause = "its holder is gone" // and with it the members' connections; owners were called holders
	SaveDue              Cause = "a save is due"
	SaveComplete         Cause = "saved"                // every part is in the register
	SaveCompleteRelocate Cause = "saved, to be moved"   // the same, before a retirement
	SaveFailed           Cause = "the save never ended" // the last checkpoint stays
	PartDamaged          Cause = "a part is damaged"    // the previous checkpoint is used
	AllEnded             Cause = "every member ended well"
)

// Step is one transition.
type Step struct {
	From  Phase
	Cause Cause
	To    Phase
}

// Table has all steps. Every write of a record but a submitter's takes one of them.
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

// next returns the phase that a cause leads to. It panics if the table has no such step.
func next(from Phase, cause Cause) Phase {
	for _, s := range Table {
		if s.From == from && s.Cause == cause {
			return s.To
		}
	}
	panic(fmt.Sprintf("gang: no step from %s because %s", from, cause))
}
