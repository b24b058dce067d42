package scheduler

import (
	"time"

	"ospreypond/internal/cluster/protocol"
)

// runnerTimeout is how long ago a runner's last contact may be for it to be given tasks. Orders wait for its next
// heartbeat.
const runnerTimeout = 700 * time.Millisecond

// runner is what the owner knows of one incarnation of a runner.
type runner struct {
	instance        string
	report          protocol.Heartbeat // the newest
	hasReported     bool               // in this term
	lastContact     time.Duration      // when report came
	leaseExpiry     time.Duration      // after this, nothing runs there unless another lease is granted
	isDraining      bool
	drainsUntil     time.Duration // draining: when it may be gone at the earliest; 0: unknown
	hasDeregistered bool          // it gets no work and no lease any more, and may serve on for seconds

	reply    func(*protocol.Orders, error) // to the heartbeat that is not answered yet, or nil
	replyDue time.Duration

	listed    map[runKey]*listedRun    // runs that its newest heartbeat lists as active
	startedAt map[runKey]time.Duration // runs started there by this owner: when that was committed
	stops     map[runKey]bool          // runs ordered to stop, until their end is listed
	inherited map[runKey]bool          // runs that an earlier owner started there, until a heartbeat lists them here
	history   runHistory
}

// listedRun is what is known of a run that a runner lists as active.
type listedRun struct {
	since        time.Duration // first listed
	firstPercent float64       // then
	percent      float64
	progressAt   time.Duration // when percent last rose
	checkpoint   string
	startedHere  bool // by this owner, so that its runtime can be learnt
}

// Positions of a runner's labels.
const (
	kindLabel = 0
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

// isResponsive reports whether the runner's last contact with this owner is recent enough to give it tasks.
func (r *runner) isResponsive(now time.Duration) bool {
	return r.hasReported && now-r.lastContact < runnerTimeout
}

// isUnresponsive reports whether the runner's last contact is too long ago. At exactly runnerTimeout a runner is neither
// given tasks nor given up.
func (r *runner) isUnresponsive(now time.Duration) bool {
	return !r.hasReported || now-r.lastContact > runnerTimeout
}

// isSchedulable reports whether tasks may be placed there.
func (r *runner) isSchedulable(now time.Duration) bool {
	return !r.isDraining && !r.hasDeregistered && r.isResponsive(now)
}

// lists reports whether the newest heartbeat lists the run as active.
func (r *runner) lists(key runKey) bool { return r.listed[key] != nil }

// isStopping reports whether the run was ordered to stop.
func (r *runner) isStopping(key runKey) bool { return r.stops[key] }

// respond replies to the heartbeat that is not answered yet, if there is one.
func (r *runner) respond(orders *protocol.Orders, err error) {
	reply := r.reply
	r.reply = nil
	if reply != nil {
		reply(orders, err)
	}
}

// markDeregistered records that the runner has deregistered: it is about to end, and gets no work and no lease any more.
func (r *runner) markDeregistered() {
	r.hasDeregistered = true
	r.isDraining = true
}

// newRunner returns a runner that may have a lease of an earlier owner.
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
