package scheduler

import (
	"time"

	"ospreypond/internal/cluster/protocol"
)

// runnerTimeout is the time since its last heartbeat after which a runner is unresponsive and is given no tasks. A start
// reaches the runner only with the answer to its next heartbeat, so a task placed on a silent runner would wait.
const runnerTimeout = 700 * time.Millisecond

// runner is the owner's record of one incarnation of a runner.
type runner struct {
	instance        string
	report          protocol.Heartbeat // newest heartbeat
	hasReported     bool               // a heartbeat has arrived during this leadership
	lastContact     time.Duration      // arrival of report
	leaseExpiry     time.Duration      // time from which on the runner has no runs, unless another lease is granted
	isDraining      bool               // the runner gets no new work
	drainDeadline   time.Duration      // earliest time at which a draining runner may end; 0: it hasn't reported one
	hasDeregistered bool               // the runner gets neither work nor leases; its runs may continue until leaseExpiry

	reply    func(*protocol.Orders, error) // callback of the newest heartbeat; nil after the reply
	replyDue time.Duration                 // time at which the reply must be sent at the latest

	listed    map[runKey]*listedRun    // runs that the newest heartbeat lists as active
	startedAt map[runKey]time.Duration // commit times of the starts of this owner, until the run's end or loss is proposed
	stops     map[runKey]bool          // runs to stop, until their end or loss is proposed
	inherited map[runKey]bool          // runs that earlier owners started, until a heartbeat to this owner lists them
	history   runHistory
}

// listedRun is the state of a run that its runner lists as active, from the heartbeats to this owner.
type listedRun struct {
	since        time.Duration // arrival of the first heartbeat that listed the run
	firstPercent float64       // progress in that heartbeat
	percent      float64       // highest progress so far
	progressAt   time.Duration // time at which percent last rose
	checkpoint   string        // newest checkpoint
	startedHere  bool          // this owner has started the run, so since is the start of its runtime
}

// Positions in a runner's list of labels.
const (
	kindLabel = 0 // kind of hardware
	rackLabel = 1
)

func (r *runner) kind() string { return labelAt(r.report.Labels, kindLabel) }

func (r *runner) rack() string { return labelAt(r.report.Labels, rackLabel) }

func labelAt(labels []string, position int) string {
	if position >= len(labels) {
		return ""
	}
	return labels[position]
}

// isResponsive reports whether the runner's last heartbeat to this owner is less than runnerTimeout ago.
func (r *runner) isResponsive(now time.Duration) bool {
	return r.hasReported && now-r.lastContact < runnerTimeout
}

// isUnresponsive reports whether the runner's last heartbeat to this owner is more than runnerTimeout ago, or none has
// arrived. At exactly runnerTimeout a runner is neither responsive nor unresponsive: it is given no tasks, and its runs
// aren't declared lost.
func (r *runner) isUnresponsive(now time.Duration) bool {
	return !r.hasReported || now-r.lastContact > runnerTimeout
}

// isSchedulable reports whether tasks may be placed on the runner.
func (r *runner) isSchedulable(now time.Duration) bool {
	return !r.isDraining && !r.hasDeregistered && r.isResponsive(now)
}

// lists reports whether the runner's newest heartbeat lists the run as active.
func (r *runner) lists(key runKey) bool { return r.listed[key] != nil }

// isStopping reports whether the owner has decided to stop the run.
func (r *runner) isStopping(key runKey) bool { return r.stops[key] }

// respond replies to the newest heartbeat if it hasn't been answered.
func (r *runner) respond(orders *protocol.Orders, err error) {
	reply := r.reply
	r.reply = nil
	if reply != nil {
		reply(orders, err)
	}
}

// markDeregistered records that the runner has deregistered: it will end soon, and is given neither work nor leases.
func (r *runner) markDeregistered() {
	r.hasDeregistered = true
	r.isDraining = true
}

// newRunner returns the record of an incarnation to which an earlier owner may have granted a lease just before now.
func (o *Owner) newRunner(instance string, now time.Duration) *runner {
	r := &runner{
		instance:    instance,
		leaseExpiry: now + o.maxLeaseTime(),
		listed:      map[runKey]*listedRun{},
		startedAt:   map[runKey]time.Duration{},
		stops:       map[runKey]bool{},
		inherited:   map[runKey]bool{},
	}
	for _, task := range o.state.RunsOn(instance) {
		r.inherited[runKey{task.ID, task.Run}] = true
	}
	if o.state.Departed(instance) {
		r.markDeregistered()
	}
	return r
}
