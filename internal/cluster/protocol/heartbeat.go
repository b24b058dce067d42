package protocol

import (
	"encoding/json"

	"github.com/pkg/errors"
)

// RunnerState is the state that a runner reports of itself in a heartbeat.
type RunnerState string

// Values of RunnerState. The scheduler treats any other value as ready.
const (
	RunnerReady    RunnerState = "ready"
	RunnerDraining RunnerState = "draining" // the runner finishes its runs and starts no others
)

// RunEnd is how a run ended. Runners report it, and the shard's log stores it. The constants are untyped, so that they can
// also be compared with plain strings, which the simulation's histories have.
type RunEnd string

// Values of RunEnd.
const (
	EndDone    = "done"    // the run has completed its work
	EndFailed  = "failed"  // the run has ended without completing its work
	EndStopped = "stopped" // a StopOrder has ended the run
	EndLapsed  = "lapsed"  // the runner's lease expired during the run
	EndBroken  = "broken"  // another member of the run's gang has ended
	EndAlone   = "alone"   // the other members of the run's gang didn't start in time
	EndRefused = "refused" // the runner didn't accept the StartOrder: the run never started
)

// Resources is an amount of resources: the capacity of a runner, or the request of a task. Encoded by gob and as JSON.
type Resources struct {
	CPU      int64 `json:"cpu,omitempty"`           // thousandths of a core
	MemoryMB int64 `json:"memoryLimitMb,omitempty"` // megabytes
	GPU      int64 `json:"gpu,omitempty"`           // number of accelerators
}

// Heartbeat is a runner's report about itself. The runner sends it to its agent as JSON, with the names in the tags. The
// agent sends it to the owner of the service's shard by gob, with the field names. An agent that calls its runner
// composes the heartbeats for the owner.
type Heartbeat struct {
	Instance        string        `json:"-"`               // unique to an incarnation of a runner; the agent sets it from the request's path
	Service         string        `json:"service"`         // service that the runner belongs to; it determines the shard
	Address         string        `json:"address"`         // ip:port of the runner; a later incarnation may have the same
	Zone            string        `json:"zone"`            // zone of the runner's machine
	Version         string        `json:"version"`         // version of the runner's program; the scheduler doesn't use it
	Slots           int           `json:"slots"`           // the scheduler doesn't use it
	State           RunnerState   `json:"state"`           // see RunnerState
	ColdRemainingMs int64         `json:"coldRemainingMs"` // how much longer the runner is warming up; 0: it is warm
	RemainingMs     int64         `json:"remainingMs"`     // how much longer a draining runner serves; not used in other states
	Capacity        Resources     `json:"capacity"`        // resources for all runs together
	Labels          []string      `json:"labels"`          // see Step.Requirements; the first is the machine's kind, the second its rack
	ClockMs         int64         `json:"clockMs"`         // runner's clock when the heartbeat was sent; if Called, at most that
	Sequence        uint64        `json:"sequence"`        // increases with each heartbeat of the incarnation
	Active          []ActiveRun   `json:"active"`          // all runs on the runner; if Called, also runs that may have been started
	Finished        []FinishedRun `json:"finished"`        // ends with an N above the newest Orders.LastSeen

	// Rejected lists runs that the owner ordered to start and that the runner will certainly never start. Only an agent that
	// calls its runner sets it.
	Rejected []ActiveRun `json:"-"`
	// Called is true if an agent that calls its runner has composed this heartbeat. The start of a run that the heartbeat
	// doesn't list may then still be on the network to the runner, sent by an earlier agent. The owner therefore doesn't
	// give up the run before a stop has made sure that it never starts.
	Called bool `json:"-"`
	// Relayed is true if a relay has forwarded this heartbeat. The relay sets it. A relay may delay a heartbeat for any
	// time, so the owner doesn't conclude from it that another incarnation at the same address has ended.
	Relayed bool `json:"-"`
	// FenceOnly is true if the sender requests the current fencing token and reports nothing about runs. The response has
	// Orders.FenceToken only. A runner refuses calls with a lower token than the highest that it has seen, so an agent that
	// has restarted may need the token before it can poll its runner.
	FenceOnly bool `json:"-"`
}

// ActiveRun is a run that exists on a runner. In JSON it is the row [task, run, checkpoint, percent]; the last two may be
// absent. Encoded by gob: the field names are the wire format.
type ActiveRun struct {
	Task    string  // ID of the task
	Run     uint64  // number of the run among the runs of the task, in the order of their starts
	Saved   string  // newest checkpoint of the run; empty: none
	Percent float64 // progress of the run: 0 to 100; 0 also if it is unknown
}

// FinishedRun is a run that ended on a runner. In JSON it is the row [N, task, run, how, checkpoint]; the last may be
// absent. Encoded by gob: the field names are the wire format.
type FinishedRun struct {
	N     uint64 // number of the end among the ends on this incarnation of the runner, from 1 upwards
	Task  string // ID of the task
	Run   uint64 // see ActiveRun
	How   RunEnd
	Saved string // newest checkpoint of the run; empty: none
}

// StartOrder orders a runner to start a run. In JSON it is the row [task, run, spec, checkpoint]; the last may be absent. An
// owner repeats it until a heartbeat lists the run. Encoded by gob: the field names are the wire format.
type StartOrder struct {
	Task  string // ID of the task
	Run   uint64 // see ActiveRun
	Spec  string // JobSpec.Spec of the task's job
	Saved string // checkpoint from which the run continues; empty: it begins at the start of the task
}

// StopOrder orders a runner to stop a run. In JSON it is the row [task, run]. Encoded by gob: the field names are the wire
// format.
type StopOrder struct {
	Task string // ID of the task
	Run  uint64 // see ActiveRun
}

// Orders is the owner's response to a heartbeat. The owner sends it to the agent by gob, with the field names. A runner that
// sends heartbeats gets it from the agent as JSON, with the names in the tags and without fields that are 0 or empty.
type Orders struct {
	// HoldMs is the length of the runner's lease, which begins when the heartbeat was sent. The runner ends its runs when
	// the lease expires. 0: no lease is granted; an earlier one stays valid until its own end.
	HoldMs int64 `json:"holdMs,omitempty"`
	// LastSeen is the highest FinishedRun.N of the incarnation that the shard has recorded. The runner needs no longer
	// list the ends up to it. 0: none is recorded.
	LastSeen uint64 `json:"lastSeen,omitempty"`
	// FenceToken is the fencing token of the owner: the term of its leadership of the shard. A later owner has a
	// higher token, and its orders replace the orders of earlier owners.
	FenceToken uint64       `json:"fenceToken,omitempty"`
	Start      []StartOrder `json:"start,omitempty"`
	Stop       []StopOrder  `json:"stop,omitempty"`
	// RetryDelayMs is the time until the owner wants the next heartbeat. 0: the runner's usual interval.
	RetryDelayMs int64 `json:"retryDelayMs,omitempty"`
	// HeartbeatAddress is where the runner must send further heartbeats. Empty: the same address as before. Owners always
	// leave it empty.
	HeartbeatAddress string `json:"heartbeatAddress,omitempty"`
}

// decodeRow decodes the elements of a JSON array into fields, in order. It ignores further elements. Fewer than minFields
// elements are an error; the fields that remain are unchanged.
func decodeRow(data []byte, minFields int, fields ...any) error {
	var row []json.RawMessage
	if err := json.Unmarshal(data, &row); err != nil {
		return err
	}
	if len(row) < minFields {
		return errors.Errorf("row has %d fields, expected at least %d", len(row), minFields)
	}
	for i, field := range fields {
		if i >= len(row) {
			break
		}
		if err := json.Unmarshal(row[i], field); err != nil {
			return errors.Wrapf(err, "field %d", i)
		}
	}
	return nil
}

// UnmarshalJSON decodes the row [task, run, checkpoint, percent].
func (r *ActiveRun) UnmarshalJSON(data []byte) error {
	return decodeRow(data, 2, &r.Task, &r.Run, &r.Saved, &r.Percent)
}

// MarshalJSON encodes the row [task, run, checkpoint, percent].
func (r ActiveRun) MarshalJSON() ([]byte, error) {
	return json.Marshal([]any{r.Task, r.Run, r.Saved, r.Percent})
}

// UnmarshalJSON decodes the row [N, task, run, how, checkpoint].
func (r *FinishedRun) UnmarshalJSON(data []byte) error {
	return decodeRow(data, 4, &r.N, &r.Task, &r.Run, &r.How, &r.Saved)
}

// MarshalJSON encodes the row [N, task, run, how, checkpoint].
func (r FinishedRun) MarshalJSON() ([]byte, error) {
	return json.Marshal([]any{r.N, r.Task, r.Run, r.How, r.Saved})
}

// UnmarshalJSON decodes the row [task, run, spec, checkpoint].
func (o *StartOrder) UnmarshalJSON(data []byte) error {
	return decodeRow(data, 3, &o.Task, &o.Run, &o.Spec, &o.Saved)
}

// MarshalJSON encodes the row [task, run, spec, checkpoint].
func (o StartOrder) MarshalJSON() ([]byte, error) {
	return json.Marshal([]any{o.Task, o.Run, o.Spec, o.Saved})
}

// UnmarshalJSON decodes the row [task, run].
func (o *StopOrder) UnmarshalJSON(data []byte) error { return decodeRow(data, 2, &o.Task, &o.Run) }

// MarshalJSON encodes the row [task, run].
func (o StopOrder) MarshalJSON() ([]byte, error) { return json.Marshal([]any{o.Task, o.Run}) }
