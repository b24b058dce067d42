package jobs

import "ospreypond/internal/cluster/protocol"

// Command is one entry of the shard's log: everything that the owner decided in one step. State.Apply applies its parts
// in the order of the fields.
type Command struct {
	// TimeOfDayMs is the owner's estimate of the time of day, in ms since 1970. The shard's clock never goes back.
	TimeOfDayMs     int64
	Submits         []Submit
	Cancels         []string // ids of jobs
	Fences          []Fence
	Ends            []End // those of one runner in rising order of N
	Losses          []Loss
	Starts          []Start
	RunnerAddresses []RunnerAddress // applied before Starts
	// Departures are the runners that have deregistered. Nothing is started there any more, whoever owns the shard.
	// They are applied before Starts.
	Departures []string
}

// Submit asks the shard to accept a job.
type Submit struct {
	ID      string
	Queue   protocol.Queue
	Job     protocol.JobSpec
	Version uint64 // of the configuration that gave the job its queue
}

// Fence makes the shard promise never to accept a job whose queue was chosen by Version of the configuration or an older
// one.
type Fence struct {
	ID      string
	Version uint64 // of the configuration by which the queue belongs to another shard
}

// End is the end of a run, as its runner reported it.
type End struct {
	Runner     string // incarnation
	N          uint64 // number of the end, rising by runner
	Task       TaskID
	Run        uint64
	Outcome    protocol.RunEnd // one that is unknown counts as protocol.EndStopped
	Checkpoint string          // newest checkpoint of the run, or empty
}

// Loss states that a run exists nowhere and has no end that counts: it never reached its runner, or its runner's
// incarnation or lease is over.
type Loss struct {
	Runner     string // incarnation
	Task       TaskID
	Run        uint64
	Checkpoint string // newest checkpoint that was reported of it, or empty
}

// RunnerAddress states at which address an incarnation of a runner serves. A later incarnation at the same address
// proves that it is over, also to an owner that has had no contact with it.
type RunnerAddress struct {
	Runner  string // incarnation
	Address string
}

// Start states that a run may exist from now on. Run must be the task's Run + 1. All members of a gang start in one
// command with the same Run, or none does.
type Start struct {
	Task   TaskID
	Run    uint64
	Runner string // incarnation
}
