package gang

import "time"

// Runner is a runner as this dispatcher knows it.
type Runner struct {
	Name, Zone, Kind string
	Speed            float64 // of its kind
	Slots            float64 // free ones, gangs' members that the records tell of not counted
	// Usable says that the module's rules on health and cold runners let it have a member now.
	Usable bool
	// Retires is when it is to end; the zero time: not known to.
	Retires time.Time
}

// Version is a record's version in the register, its ETag; empty: there is none.
type Version string

// Outcome is how a write ended.
type Outcome uint8

// The outcomes of a write.
const (
	Written  Outcome = iota
	Conflict         // another version is there
	Unknown          // no answer, or one that proves nothing
)

// Event is what came of one member.
type Event uint8

// What members tell.
const (
	Began       Event = iota
	Progressed        // a line of progress: its heartbeat
	Finished          // its result is there
	Failed            // it ended otherwise, whatever the way
	DamagedPart       // it could not start, as its part of the checkpoint is damaged
)

// ActionKind says what is to be done.
type ActionKind uint8

// The actions.
const (
	Read      ActionKind = iota // the record Gang
	Write                       // Record, if its version is still If
	Send                        // Member of Gang in Generation to Runner, from From
	Stop                        // Member of Gang in Generation
	ListParts                   // at which parts of the save Number in Generation are there
)

// Action is one thing to do now.
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
