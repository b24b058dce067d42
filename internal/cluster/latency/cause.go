// Package latency accounts for where the time of tasks and jobs goes: each moment between a job's acceptance and its end
// has one cause of a closed list. It is pure: the owner of a shard tells it what happens, with the time, and no call
// passes over all tasks.
package latency

import "time"

// Reason is why a task is not done yet.
type Reason uint8

// The causes, in the order in which they are told.
const (
	// Unowned: nobody owned the shard, or an owner before this one did, which took its account along.
	Unowned Reason = iota
	// Step: an earlier step of the job was not done.
	Step
	// Round: the next round of placement, or the commit of its decision, was waited for.
	Round
	// CPU: no runner that may take the task had so many processors free.
	CPU
	// Memory: none had so much memory free.
	Memory
	// GPU: none had so many accelerators free.
	GPU
	// Runner: no runner was known that could take the task at all, by its label, its size or its anti-affinity.
	Runner
	// Reserved: what was free is kept for urgent work, a gang or a large task.
	Reserved
	// Distrust: what was free is on runners that fail what they start.
	UnreliableRunner
	// Better: a runner that suits the task better is expected to become free soon.
	Better
	// Order: the start was committed, and the runner had not listed the run yet.
	Order
	// Running: the run that ended well was at work.
	Running
	// Report: that run had ended, and its end was not committed yet.
	Report
	// Silent: the runner had fallen silent, and what runs there could not be given to another yet.
	Silent
	// Failed: a run was at work that failed.
	Failed
	// Stopped: a run was at work that was stopped or broken.
	Stopped
	// Lost: a run was at work that was lost with its runner.
	Lost

	causes
)

var names = [causes]string{
	Unowned: "unowned", Step: "step", Round: "round", CPU: "cpu", Memory: "memory", GPU: "gpu", Runner: "runner",
	Reserved: "reserved", UnreliableRunner: "distrust", Better: "better", Order: "order", Running: "running", Report: "report",
	Silent: "silent", Failed: "failed", Stopped: "stopped", Lost: "lost",
}

// String returns the name by which a cause is told.
func (c Reason) String() string { return names[c] }

// Causes returns all causes, in their order.
func Causes() []Reason {
	all := make([]Reason, causes)
	for i := range all {
		all[i] = Reason(i)
	}
	return all
}

// Times is a span of time by cause.
type Times [causes]time.Duration

// Sum returns the whole span.
func (t *Times) Sum() time.Duration {
	var sum time.Duration
	for _, span := range t {
		sum += span
	}
	return sum
}

// Add adds other spans.
func (t *Times) Add(other *Times) {
	for cause, span := range other {
		t[cause] += span
	}
}

// Sub subtracts other spans.
func (t *Times) Sub(other *Times) {
	for cause, span := range other {
		t[cause] -= span
	}
}
