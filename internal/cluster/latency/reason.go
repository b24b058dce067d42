package latency

import "time"

// Reason is the reason why a task was not done yet at some moment.
type Reason uint8

// The wait reasons. Up to Outranked they apply to a task before its run, from StartOrder on to the time of a run. Log lines
// have them in this order.
const (
	// Unowned: the time before this record began. No process owned the shard, or an earlier owner did and its record is lost.
	Unowned Reason = iota
	// EarlierStep: the task waited for an earlier step of its job.
	EarlierStep
	// NextRound: the task waited for the next placement round, or for its start to be committed.
	NextRound
	// NoCPU: no runner that could run the task had enough free processors.
	NoCPU
	// NoMemory: no runner that could run the task had enough free memory.
	NoMemory
	// NoGPU: no runner that could run the task had enough free accelerators.
	NoGPU
	// NoRunner: no known runner could run the task even if it were idle, because of its label or its size, or anti-affinity
	// ruled every runner out.
	NoRunner
	// ReservedCapacity: the free capacity was reserved for urgent work, a gang or a large task.
	ReservedCapacity
	// UnreliableRunner: the free capacity was on runners that are avoided because their runs fail.
	UnreliableRunner
	// BetterLater: a more suitable runner was expected to become free soon.
	BetterLater
	// Outranked: the job had no value left, so that jobs with value got the capacity first.
	Outranked
	// StartOrder: the start was committed, but the runner had not listed the run yet.
	StartOrder
	// Running: a run was executing that was done in the end.
	Running
	// EndReport: a run was done, but its end was not committed yet.
	EndReport
	// UnresponsiveRunner: after the last contact with the runner of a lost run, until the loss was committed.
	UnresponsiveRunner
	// Failed: a run was executing that failed in the end.
	Failed
	// Stopped: a run was executing that was stopped, or that ended with another member of its gang.
	Stopped
	// Lost: a run was executing, until the last contact with its runner. The run ended with the loss of the runner or the
	// expiry of its lease.
	Lost

	reasonCount // number of reasons
)

// labels are the values of the metrics' label and the keys in log lines. They must not change, since dashboards and alerts
// refer to them.
var labels = [reasonCount]string{
	Unowned: "unowned", EarlierStep: "step", NextRound: "round", NoCPU: "cpu", NoMemory: "memory", NoGPU: "gpu",
	NoRunner: "runner", ReservedCapacity: "reserved", UnreliableRunner: "distrust", BetterLater: "better",
	Outranked: "outranked", StartOrder: "order", Running: "running", EndReport: "report", UnresponsiveRunner: "silent", Failed: "failed",
	Stopped: "stopped", Lost: "lost",
}

// String returns the reason's label in metrics and logs.
func (r Reason) String() string { return labels[r] }

// Reasons returns all reasons in ascending order.
func Reasons() []Reason {
	all := make([]Reason, reasonCount)
	for i := range all {
		all[i] = Reason(i)
	}
	return all
}

// Times is a span of time split by wait reason: the element with the index of a Reason is that reason's part.
type Times [reasonCount]time.Duration

// Sum returns the length of the complete span.
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
