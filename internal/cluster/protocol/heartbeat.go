package protocol

import (
	"encoding/json"

	"github.com/pkg/errors"
)

// RunnerState is the state that a runner reports of itself in a heartbeat.
type RunnerState string

// States of a runner.
const (
	RunnerReady    RunnerState = "ready"
	RunnerDraining RunnerState = "draining" // it finishes what it runs and starts nothing
)

// RunEnd is how a run ended, as its runner reports it and the shard's log has it. The constants are untyped: histories
// of the simulation have the same texts as plain strings.
type RunEnd string

// Ends of runs.
const (
	EndDone    = "done"
	EndFailed  = "failed"
	EndStopped = "stopped" // by a StopOrder
	EndLapsed  = "lapsed"  // the runner's lease expired
	EndBroken  = "broken"  // another member of the gang ended
	EndAlone   = "alone"   // the other members of the gang didn't come in time
	EndRefused = "refused" // the runner didn't accept the StartOrder: it never ran
)

// Resources is an amount of what a runner has or a task requests. Encoded by gob and as JSON.
type Resources struct {
	CPU      int64 `json:"cpu,omitempty"`           // thousandths of a core
	MemoryMB int64 `json:"memoryLimitMb,omitempty"` // MB
	GPU      int64 `json:"gpu,omitempty"`           // accelerators
}

// Heartbeat is a runner's report about itself. The tags are the JSON of runners; from agents to owners it is encoded by
// gob, whose wire format are the field names.
type Heartbeat struct {
	Instance        string        `json:"-"` // from the path of the call; unique to an incarnation
	Service         string        `json:"service"`
	Address         string        `json:"address"`
	Zone            string        `json:"zone"`
	Version         string        `json:"version"`
	Slots           int           `json:"slots"`
	State           RunnerState   `json:"state"`
	ColdRemainingMs int64         `json:"coldRemainingMs"` // how much longer it is warming up
	RemainingMs     int64         `json:"remainingMs"`     // how much longer it serves; only of a draining runner
	Capacity        Resources     `json:"capacity"`
	Labels          []string      `json:"labels"`
	ClockMs         int64         `json:"clockMs"`  // the runner's own clock
	Sequence        uint64        `json:"sequence"` // rises with each heartbeat of the incarnation
	Active          []ActiveRun   `json:"active"`
	Finished        []FinishedRun `json:"finished"` // ends above Orders.LastSeen

	// Rejected lists runs whose start was ordered and that the runner certainly will never start. Only an agent that calls
	// its runner sets it.
	Rejected []ActiveRun `json:"-"`
	// Called reports whether this heartbeat was composed by an agent that calls its runner. A start sent by an earlier agent
	// may still reach such a runner, although this heartbeat doesn't list the run; a stop prevents it from ever starting.
	Called bool `json:"-"`
	// Relayed reports whether a relay has forwarded this heartbeat, which may have been delayed there.
	Relayed bool `json:"-"`
	// FenceOnly reports whether only the current fencing token is requested and nothing is said about runs: a restarted
	// agent must not poll its runner without a token.
	FenceOnly bool `json:"-"`
}

// ActiveRun is a run that exists on a runner. In JSON it is a row: [task, run, checkpoint, percent]; the last two may be
// absent. Encoded by gob: the field names are the wire format.
type ActiveRun struct {
	Task    string
	Run     uint64  // number of the start of the task
	Saved   string  // newest checkpoint; empty: none
	Percent float64 // of the work that is done
}

// FinishedRun is a run that ended on a runner. In JSON it is a row: [N, task, run, how, checkpoint]; the last may be
// absent. Encoded by gob: the field names are the wire format.
type FinishedRun struct {
	N     uint64 // number of the end on its runner, from 1 upwards
	Task  string
	Run   uint64
	How   RunEnd
	Saved string // newest checkpoint; empty: none
}

// StartOrder orders a runner to start a run. In JSON it is a row: [task, run, spec, checkpoint]; the last may be absent.
// Encoded by gob: the field names are the wire format.
type StartOrder struct {
	Task  string
	Run   uint64
	Spec  string // JobSpec.Spec
	Saved string // checkpoint to continue from; empty: from the beginning
}

// StopOrder orders a runner to stop a run. In JSON it is a row: [task, run]. Encoded by gob: the field names are the wire
// format.
type StopOrder struct {
	Task string
	Run  uint64
}

// Orders is the owner's response to a heartbeat. Runners read it as JSON, without the fields that are 0 or empty; between
// processes it is encoded by gob, whose wire format are the field names.
type Orders struct {
	HoldMs           int64        `json:"holdMs,omitempty"`     // length of the lease, from the heartbeat's sending; 0: none is granted
	LastSeen         uint64       `json:"lastSeen,omitempty"`   // ends up to this FinishedRun.N are recorded
	FenceToken       uint64       `json:"fenceToken,omitempty"` // fencing token: the shard's term
	Start            []StartOrder `json:"start,omitempty"`
	Stop             []StopOrder  `json:"stop,omitempty"`
	RetryDelayMs     int64        `json:"retryDelayMs,omitempty"`     // when the owner wants the next heartbeat; 0: at the usual interval
	HeartbeatAddress string       `json:"heartbeatAddress,omitempty"` // where to send it; empty: as before
}

// decodeRow decodes a JSON array into fields, in order. Elements beyond them are ignored; fewer than minFields are an
// error.
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

// UnmarshalJSON decodes [task, run, checkpoint, percent].
func (r *ActiveRun) UnmarshalJSON(data []byte) error {
	return decodeRow(data, 2, &r.Task, &r.Run, &r.Saved, &r.Percent)
}

// MarshalJSON encodes [task, run, checkpoint, percent].
func (r ActiveRun) MarshalJSON() ([]byte, error) {
	return json.Marshal([]any{r.Task, r.Run, r.Saved, r.Percent})
}

// UnmarshalJSON decodes [N, task, run, how, checkpoint].
func (r *FinishedRun) UnmarshalJSON(data []byte) error {
	return decodeRow(data, 4, &r.N, &r.Task, &r.Run, &r.How, &r.Saved)
}

// MarshalJSON encodes [N, task, run, how, checkpoint].
func (r FinishedRun) MarshalJSON() ([]byte, error) {
	return json.Marshal([]any{r.N, r.Task, r.Run, r.How, r.Saved})
}

// UnmarshalJSON decodes [task, run, spec, checkpoint].
func (o *StartOrder) UnmarshalJSON(data []byte) error {
	return decodeRow(data, 3, &o.Task, &o.Run, &o.Spec, &o.Saved)
}

// MarshalJSON encodes [task, run, spec, checkpoint].
func (o StartOrder) MarshalJSON() ([]byte, error) {
	return json.Marshal([]any{o.Task, o.Run, o.Spec, o.Saved})
}

// UnmarshalJSON decodes [task, run].
func (o *StopOrder) UnmarshalJSON(data []byte) error { return decodeRow(data, 2, &o.Task, &o.Run) }

// MarshalJSON encodes [task, run].
func (o StopOrder) MarshalJSON() ([]byte, error) { return json.Marshal([]any{o.Task, o.Run}) }
