package gang

import "time"

// Runner is the state of a runner as this dispatcher knows it.
type Runner struct {
	Name, Zone, Kind string
	Speed            float64 // of its kind; work that takes one second at speed 1 takes 1/Speed seconds
	Slots            float64 // free slots, not counting members of gangs: the core subtracts their slots by the records
	// Usable reports whether the decision module's rules on unhealthy runners and slow start allow the runner a new member now.
	Usable bool
	// Retires is when the runner retires; the zero time if no retirement is announced.
	Retires time.Time
}

// Version is the ETag of a record in the register; it is empty for a record that does not exist.
type Version string

// Outcome is the outcome of a write.
type Outcome uint8

// The outcomes.
const (
	Written  Outcome = iota
	Conflict         // the record has another version than the write named; the write had no effect
	Unknown          // the answer was lost; the write may have taken effect or not
)

// Event is an event that a member reports, or that its connection shows.
type Event uint8

// The events.
const (
	Began       Event = iota // the member has started
	Progressed               // a heartbeat
	Finished                 // the member has ended with a result
	Failed                   // the member has ended without a result, or its connection is closed
	DamagedPart              // the member can't start because its part of the checkpoint is damaged
)

// ActionKind is the kind of an Action.
type ActionKind uint8

// The kinds of actions. Each comment gives the caller's task, and after the colon the method of Core that takes the answer.
const (
	Read      ActionKind = iota // read the record of Gang: Got
	Write                       // write Record if the register holds its version IfVersion: Wrote
	Send                        // send Member of Gang in Generation to Runner, to start from Checkpoint: Member, for each event
	Stop                        // stop Member of Gang in Generation
	ListParts                   // list the parts of the save SaveNumber in Generation: Parts
)

// Action is a call to the register or to a runner that the caller must make. Fields that its Kind doesn't use are empty.
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
