package gang

import "time"

// Runner is a runner as this dispatcher knows it.
type Runner struct {
	Name, Zone, Kind string
	Speed            float64 // of its kind; work of a second at speed 1 takes 1/Speed seconds
	Slots            float64 // free ones, as if it had no members of gangs: those the core subtracts by the records
	// Usable is whether the decision module's rules on unhealthy runners and slow start allow it a member now.
	Usable bool
	// Retires is when it retires; the zero time if that is not announced.
	Retires time.Time
}

// Version is the version of a record in the register, its ETag; empty for a record that does not exist.
type Version string

// Outcome is the outcome of a write.
type Outcome uint8

// The outcomes.
const (
	Written  Outcome = iota
	Conflict         // the record has another version
	Unknown          // it may have taken effect or not
)

// Event is what a member reports, or what its connection shows.
type Event uint8

// The events.
const (
	Began       Event = iota
	Progressed        // its heartbeat
	Finished          // it has a result
	Failed            // it ended without a result, or its connection did
	DamagedPart       // it can't start, as its part of the checkpoint is damaged
)

// ActionKind is the kind of an Action.
type ActionKind uint8

// The kinds of actions, with the answer that the caller passes to the core.
const (
	Read      ActionKind = iota // the record of Gang: Got
	Write                       // Record, if the register has IfVersion: Wrote
	Send                        // Member of Gang in Generation to Runner, to go on from Checkpoint: Member, for each event
	Stop                        // Member of Gang in Generation
	ListParts                   // of the save SaveNumber in Generation: Parts
)

// Action is a call to the register or a runner that the caller makes. The fields that its kind has no use for are empty.
type Action struct {
	Kind       ActionKind
	Gang       string
	Record     *Record
	IfVersion  Version
	Member     int
	Generation uint64
	SaveNumber int
	Runner     string
	Checkpoint *Checkpoint
}
