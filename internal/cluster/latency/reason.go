package latency

import "time"

// Reason is why a task is not done yet.
type Reason uint8

// The wait reasons. The last ones are what the time of a run counts as. Their order is the order in logs.
const (
	// Unowned: no process owned the shard, or an owner before this one did, whose record is gone.
	Unowned Reason = iota
	// EarlierStep: an earlier step of the job was not done.
	EarlierStep
	// NextRound: the next round of placement, or the commit of its decision, was awaited.
	NextRound
	// NoCPU: no runner that may run the task had enough free processors.
	NoCPU
	// NoMemory: none had enough free memory.
	NoMemory
	// NoGPU: none had enough free accelerators.
	NoGPU
	// NoRunner: no runner was known that could run the task at all, by its label, its size or its anti-affinity.
	NoRunner
	// ReservedCapacity: what was free is reserved for urgent work, a gang or a large task.
	ReservedCapacity
	// UnreliableRunner: what was free is on runners that fail what they start.
	UnreliableRunner
	// BetterLater: a runner that suits the task better is expected to become free soon.
	BetterLater
	// Outranked: the job has no value any more, and the capacity went to others that still had.
	Outranked
	// StartOrder: the start was committed, and the runner had not listed the run yet.
	StartOrder
	// Running: the run that ended well was at work.
	Running
	// EndReport: that run had ended, and its end was not committed yet.
	EndReport
	// UnresponsiveRunner: the runner was unresponsive, and what it ran could not be given to another yet.
	UnresponsiveRunner
	// Failed: a run was at work that failed.
	Failed
	// Stopped: a run was at work that was stopped, or whose gang was.
	Stopped
	// Lost: a run was at work that was lost with its runner.
	Lost

	reasonCount
)

// labels are the values of metric labels and the keys of log lines. Dashboards and alerts refer to them: they stay.
var labels = [reasonCount]string{
	Unowned: "unowned", EarlierStep: "step", NextRound: "round", NoCPU: "cpu", NoMemory: "memory", NoGPU: "gpu",
	NoRunner: "runner", ReservedCapacity: "reserved", UnreliableRunner: "distrust", BetterLater: "better",
	Outranked: "outranked", StartOrder: "order", Running: "running", EndReport: "report", UnresponsiveRunner: "silent", Failed: "failed",
	Stopped: "stopped", Lost: "lost",
}

// String returns the reason's label in metrics and logs.
func (r Reason) String() string { return labels[r] }

// Reasons returns all reasons, in their order.
func Reasons() []Reason {
	all := make([]Reason, reasonCount)
	for i := range all {
		all[i] = Reason(i)
	}
	return all
}

// Times is a span of time, split by reason.
type Times [reasonCount]time.Duration

// Sum returns the complete span.
func (t *Times) Sum() time.Duration {
	var sum time.Duration
	for _, span := range t {
		sum += span
	}
	return sum
}

// Add adds other to t, reason by reason.
func (t *Times) Add(other *Times) {
	for reason, span := range other {
		t[reason] += span
	}
}

// Sub subtracts other from t, reason by reason.
func (t *Times) Sub(other *Times) {
	for reason, span := range other {
		t[reason] -= span
	}
}
