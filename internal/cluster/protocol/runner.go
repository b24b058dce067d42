// Package protocol has the messages of the scheduler: what runners and operators send as JSON, and what the roles
// send each other by gob. It holds types and their encodings, and no behaviour.
package protocol

import (
	"encoding/json"

	"github.com/pkg/errors"
)

// Runner states in a heartbeat.
const (
	RunnerReady    = "ready"
	RunnerDraining = "draining"
)

// How a run ended.
const (
	EndDone    = "done"
	EndFailed  = "failed"
	EndStopped = "stopped"
	EndLapsed  = "lapsed"
	EndBroken  = "broken"
	EndAlone   = "alone"
	EndRefused = "refused"
)

// Resources is an amount of what a runner has or a task needs.
type Resources struct {
	CPU      int64 `json:"cpu,omitempty"`           // thousandths of a core
	MemoryMB int64 `json:"memoryLimitMb,omitempty"` // MB
	GPU      int64 `json:"gpu,omitempty"`           // accelerators
}

// Heartbeat is a runner's report on itself.
type Heartbeat struct {
	Instance        string        `json:"-"` // from the path; new in each incarnation
	Service         string        `json:"service"`
	Address         string        `json:"address"`
	Zone            string        `json:"zone"`
	Version         string        `json:"version"`
	Slots           int           `json:"slots"`
	State           string        `json:"state"`
	ColdRemainingMs int64         `json:"coldRemainingMs"`
	RemainingMs     int64         `json:"remainingMs"`
	Capacity        Resources     `json:"capacity"`
	Labels          []string      `json:"labels"`
	ClockMs         int64         `json:"clockMs"`
	Sequence        uint64        `json:"sequence"`
	Active          []ActiveRun   `json:"active"`
	Finished        []FinishedRun `json:"finished"`

	// Rejected are runs that the runner was told to start and certainly never will; from an agent that calls its runner.
	Rejected []ActiveRun `json:"-"`
	// Called tells that an agent has made this heartbeat and calls its runner. A start that an earlier agent sent may still
	// reach such a runner, although this heartbeat doesn't list the run; a stop keeps it from starting for good.
	Called bool `json:"-"`
	// Relayed tells that a relay has carried this heartbeat, which may have stood still with it.
	Relayed bool `json:"-"`
	// FenceOnly asks for the present fence token and says nothing of runs: an agent that has started again must not look
	// at its runner without one.
	FenceOnly bool `json:"-"`
}

// ActiveRun is one run on a runner: [task, run, saved, percent].
type ActiveRun struct {
	Task    string
	Run     uint64
	Saved   string
	Percent float64
}

// FinishedRun is one ended run on a runner: [N, task, run, how, saved].
type FinishedRun struct {
	N     uint64
	Task  string
	Run   uint64
	How   string
	Saved string
}

// StartOrder tells a runner to start a run: [task, run, spec, saved].
type StartOrder struct {
	Task  string
	Run   uint64
	Spec  string
	Saved string
}

// StopOrder tells a runner to stop a run: [task, run].
type StopOrder struct {
	Task string
	Run  uint64
}

// Orders is the answer to a heartbeat.
type Orders struct {
	HoldMs           int64        `json:"holdMs,omitempty"`
	LastSeen         uint64       `json:"lastSeen,omitempty"`
	FenceToken       uint64       `json:"fenceToken,omitempty"`
	Start            []StartOrder `json:"start,omitempty"`
	Stop             []StopOrder  `json:"stop,omitempty"`
	RetryDelayMs     int64        `json:"retryDelayMs,omitempty"`
	HeartbeatAddress string       `json:"heartbeatAddress,omitempty"`
}

func decodeRow(data []byte, least int, fields ...any) error {
	var row []json.RawMessage
	if err := json.Unmarshal(data, &row); err != nil {
		return err
	}
	if len(row) < least {
		return errors.Errorf("a row of %d fields, %d wanted", len(row), least)
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

// UnmarshalJSON reads a row.
func (r *ActiveRun) UnmarshalJSON(data []byte) error {
	return decodeRow(data, 2, &r.Task, &r.Run, &r.Saved, &r.Percent)
}

// MarshalJSON writes a row.
func (r ActiveRun) MarshalJSON() ([]byte, error) {
	return json.Marshal([]any{r.Task, r.Run, r.Saved, r.Percent})
}

// UnmarshalJSON reads a row.
func (r *FinishedRun) UnmarshalJSON(data []byte) error {
	return decodeRow(data, 4, &r.N, &r.Task, &r.Run, &r.How, &r.Saved)
}

// MarshalJSON writes a row.
func (r FinishedRun) MarshalJSON() ([]byte, error) {
	return json.Marshal([]any{r.N, r.Task, r.Run, r.How, r.Saved})
}

// UnmarshalJSON reads a row.
func (o *StartOrder) UnmarshalJSON(data []byte) error {
	return decodeRow(data, 3, &o.Task, &o.Run, &o.Spec, &o.Saved)
}

// MarshalJSON writes a row.
func (o StartOrder) MarshalJSON() ([]byte, error) {
	return json.Marshal([]any{o.Task, o.Run, o.Spec, o.Saved})
}

// UnmarshalJSON reads a row.
func (o *StopOrder) UnmarshalJSON(data []byte) error { return decodeRow(data, 2, &o.Task, &o.Run) }

// MarshalJSON writes a row.
func (o StopOrder) MarshalJSON() ([]byte, error) { return json.Marshal([]any{o.Task, o.Run}) }
