package gang

import "fmt"

// Cause is why a gang goes from one phase to another.
type Cause string

// The causes.
const (
	Placed               Cause = "placed"             // there is room for all members
	AllStarted           Cause = "all started"        // every member said so
	Lost                 Cause = "a member was lost"  // it failed, its runner died, or it never started
	OwnerGone            Cause = "its holder is gone" // and with it the members' connections
	SaveDue              Cause = "a save is due"
	SaveComplete         Cause = "saved"                // every part is in the register and whole
	SaveCompleteRelocate Cause = "saved, to be moved"   // the same, before a retirement
	SaveFailed           Cause = "the save never ended" // the checkpoint before stays
	PartDamaged          Cause = "a part is damaged"    // the checkpoint before is used
	AllEnded             Cause = "every member ended well"
)

// Step is one transition.
type Step struct {
	From  Phase
	Cause Cause
	To    Phase
}

// Table has every step that there is. A record changes by a step of it or not at all.
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

// next returns where a cause leads; a step that is not in the table is a fault of the program.
func next(from Phase, why Cause) Phase {
	for _, s := range Table {
		if s.From == from && s.Cause == why {
			return s.To
		}
	}
	panic(fmt.Sprintf("gang: no step from %s because %s", from, why))
}
