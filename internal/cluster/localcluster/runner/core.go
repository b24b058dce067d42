// Package runner implements a stand-in for a runner. It follows the heartbeat protocol, but its tasks wait instead of
// working. A job's `spec` determines the outcome of its tasks:
//   - "sleep 2s" succeeds after two seconds.
//   - "fail 1s" fails after one second.
//   - "last" runs until it is stopped.
//   - Anything else succeeds after defaultDuration.
//
// A stand-in saves no checkpoints, and the members of a gang do not wait for each other.
//
// Core is the state machine, without clock or I/O. Runner drives a Core and communicates with the agent. Neither is safe for
// concurrent use.
package runner

import (
	"slices"
	"strings"
	"time"

	"ospreypond/internal/cluster/protocol"
)

const (
	defaultDuration = 300 * time.Millisecond // of a task without a valid duration in its spec
	endReportDelay  = 50 * time.Millisecond  // from the end of a run to the next heartbeat, at most
	maxFinished     = 500                    // ended runs in one heartbeat; further ones wait for the next heartbeat
	maxDuration     = time.Hour              // longest duration that a spec may have
)

// Options describe a runner, as its heartbeats report it.
type Options struct {
	Instance string // name of this incarnation of the runner; must be new after a restart
	Service  string
	Address  string // host:port of the runner
	Zone     string
	Capacity protocol.Resources
	Labels   []string
	Interval time.Duration // between heartbeats, unless a response has another delay
	MaxLease time.Duration // longest lease that the runner accepts
}

// Core is the state of a runner. All times are readings of one monotonic clock.
type Core struct {
	options       Options
	sequence      uint64        // of the last heartbeat
	fence         uint64        // highest fencing token seen
	leaseExpiry   time.Duration // from then on no run may be active
	draining      bool
	active        []*run
	finished      []protocol.FinishedRun // ended runs that the owner has not recorded yet, oldest first
	lastNumber    uint64                 // FinishedRun.N of the last ended run
	endedRuns     map[string]uint64      // by task: the highest run that was stopped or has ended
	nextHeartbeat time.Duration          // when the next heartbeat is due
}

// run is a run of a task that has not ended.
type run struct {
	task      string
	number    uint64
	startedAt time.Duration
	duration  time.Duration // after which it ends without an order; 0: it runs until it is stopped
	ending    string        // how it ends after duration: protocol.EndDone or EndFailed
}

// NewCore returns the state of a runner that has not sent a heartbeat yet.
func NewCore(options Options) *Core { return &Core{options: options, endedRuns: map[string]uint64{}} }

// Drain makes the runner report that it is draining.
func (c *Core) Drain() { c.draining = true }

// Busy reports whether there are active runs.
func (c *Core) Busy() bool { return len(c.active) > 0 }

// Report ends the runs that are due and returns the heartbeat to send now.
func (c *Core) Report(now time.Duration) *protocol.Heartbeat {
	c.Advance(now)
	c.sequence++
	heartbeat := &protocol.Heartbeat{
		Instance: c.options.Instance,
		Service:  c.options.Service,
		Address:  c.options.Address,
		Zone:     c.options.Zone,
		Version:  "stand-in",
		Slots:    8,
		State:    protocol.RunnerReady,
		Capacity: c.options.Capacity,
		Labels:   c.options.Labels,
		ClockMs:  now.Milliseconds(),
		Sequence: c.sequence,
		Finished: slices.Clone(c.finished[:min(len(c.finished), maxFinished)]),
	}
	if c.draining {
		heartbeat.State = protocol.RunnerDraining
	}
	for _, r := range c.active {
		heartbeat.Active = append(heartbeat.Active, protocol.ActiveRun{Task: r.task, Run: r.number, Percent: r.percent(now)})
	}
	return heartbeat
}

// percent returns the progress of an active run, at most 99.
func (r *run) percent(now time.Duration) float64 {
	if r.duration <= 0 {
		return 0
	}
	return min(100*float64(now-r.startedAt)/float64(r.duration), 99)
}

// Advance ends each run that reached its duration before the lease expired. Once the lease has expired, it ends all other
// runs.
func (c *Core) Advance(now time.Duration) {
	for _, r := range slices.Clone(c.active) {
		switch {
		case r.duration > 0 && r.startedAt+r.duration <= min(now, c.leaseExpiry):
			c.end(now, r, r.ending)
		case now >= c.leaseExpiry:
			c.end(now, r, protocol.EndLapsed)
		}
	}
}

// Apply carries out the response to the heartbeat that was sent at sentAt.
//
//   - Orders with a lower fencing token than one seen before are ignored, except for the delay of the next heartbeat.
//   - The lease starts at sentAt, not at the arrival of the response, so that it ends here no later than its owner expects.
//     A response never shortens it.
//   - Stop orders are carried out before start orders. A start needs a response that grants a lease that has not expired.
func (c *Core) Apply(now, sentAt time.Duration, orders *protocol.Orders) {
	c.Advance(now)
	c.nextHeartbeat = now + c.options.Interval
	if orders.RetryDelayMs > 0 {
		c.nextHeartbeat = now + time.Duration(orders.RetryDelayMs)*time.Millisecond
	}
	if orders.FenceToken < c.fence {
		return
	}
	c.fence = orders.FenceToken
	c.forget(orders.LastSeen)
	if orders.HoldMs > 0 {
		lease := min(time.Duration(orders.HoldMs)*time.Millisecond, c.options.MaxLease)
		c.leaseExpiry = max(c.leaseExpiry, sentAt+lease)
	}
	for _, order := range orders.Stop {
		c.stop(now, order)
	}
	if orders.HoldMs > 0 && now < c.leaseExpiry {
		for i := range orders.Start {
			c.start(now, &orders.Start[i])
		}
	}
}

// HeartbeatFailed records that a heartbeat got no usable response. The next heartbeat is due after backoff.
func (c *Core) HeartbeatFailed(now time.Duration, backoff time.Duration) {
	c.nextHeartbeat = now + backoff
}

// NextHeartbeat returns when the next heartbeat is due.
func (c *Core) NextHeartbeat() time.Duration { return c.nextHeartbeat }

// NextEnd returns the time at which Advance has to end the next run. The result is false if there are no active runs.
func (c *Core) NextEnd() (time.Duration, bool) {
	if len(c.active) == 0 {
		return 0, false
	}
	next := c.leaseExpiry
	for _, r := range c.active {
		if r.duration > 0 {
			next = min(next, r.startedAt+r.duration)
		}
	}
	return next, true
}

// forget drops the ended runs that the owner has recorded, those with numbers up to lastSeen.
func (c *Core) forget(lastSeen uint64) {
	c.finished = slices.DeleteFunc(c.finished, func(end protocol.FinishedRun) bool { return end.N <= lastSeen })
}

// start starts a run unless it is active already. It refuses a run unless its number is above the task's highest ended run.
func (c *Core) start(now time.Duration, order *protocol.StartOrder) {
	for _, r := range c.active {
		if r.task == order.Task && r.number == order.Run {
			return
		}
	}
	if c.endedRuns[order.Task] >= order.Run {
		c.report(now, order.Task, order.Run, protocol.EndRefused)
		return
	}
	started := &run{task: order.Task, number: order.Run, startedAt: now}
	started.duration, started.ending = readSpec(order.Spec)
	c.active = append(c.active, started)
}

// stop ends an active run. A run that is not active can no longer start afterwards.
func (c *Core) stop(now time.Duration, order protocol.StopOrder) {
	for _, r := range c.active {
		if r.task == order.Task && r.number == order.Run {
			c.end(now, r, protocol.EndStopped)
			return
		}
	}
	c.endedRuns[order.Task] = max(c.endedRuns[order.Task], order.Run)
}

// end removes a run from the active ones and reports how it ended.
func (c *Core) end(now time.Duration, ended *run, how string) {
	c.active = slices.DeleteFunc(c.active, func(r *run) bool { return r == ended })
	c.report(now, ended.task, ended.number, how)
}

// report adds an ended run to the next heartbeats, and makes the next one due within endReportDelay.
func (c *Core) report(now time.Duration, task string, number uint64, how string) {
	c.lastNumber++
	c.finished = append(c.finished, protocol.FinishedRun{N: c.lastNumber, Task: task, Run: number, How: protocol.RunEnd(how)})
	c.endedRuns[task] = max(c.endedRuns[task], number)
	c.nextHeartbeat = min(c.nextHeartbeat, now+endReportDelay)
}

// readSpec returns how long a task with this spec runs and how it then ends. A duration of 0 means until it is stopped.
func readSpec(spec string) (duration time.Duration, ending string) {
	words := strings.Fields(spec)
	if len(words) == 0 {
		return defaultDuration, protocol.EndDone
	}
	duration = defaultDuration
	if len(words) > 1 {
		if given, err := time.ParseDuration(words[1]); err == nil && given > 0 && given <= maxDuration {
			duration = given
		}
	}
	switch words[0] {
	case "fail":
		return duration, protocol.EndFailed
	case "last":
		return 0, protocol.EndDone
	case "sleep":
		return duration, protocol.EndDone
	default:
		return defaultDuration, protocol.EndDone
	}
}
