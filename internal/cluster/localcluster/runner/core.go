// Package runner is a stand-in for a runner: it keeps to the protocol of heartbeats, and instead of working it waits.
// What a task does is said by its job's `spec`: "sleep 2s" takes two seconds, "fail 1s" fails after one, "last" goes on
// until it is stopped; anything else takes a moment. It takes no checkpoints, and a gang's members do not wait for each
// other.
package runner

import (
	"slices"
	"strings"
	"time"

	"ospreypond/internal/cluster/protocol"
)

const (
	momentTime   = 300 * time.Millisecond // of a task whose spec says nothing known
	afterAnEnd   = 50 * time.Millisecond  // from an end to the next heartbeat
	mostFinished = 500                    // ends in one heartbeat
	longestTask  = time.Hour
)

// Options describe a runner.
type Options struct {
	Instance string // new in each incarnation
	Service  string
	Address  string
	Zone     string
	Capacity protocol.Resources
	Labels   []string
	Interval time.Duration // between heartbeats, unless it is told otherwise
	MaxLease time.Duration // longest hold that it grants
}

// Core is the runner's state, without clock or links. Times are those of its steady clock.
type Core struct {
	options   Options
	sequence  uint64
	fence     uint64
	heldUntil time.Duration
	draining  bool
	active    []*run
	finished  []protocol.FinishedRun
	counter   uint64
	barred    map[string]uint64 // by task: highest run that was stopped or has ended
	nextBeat  time.Duration
}

// run is something that runs.
type run struct {
	task   string
	number uint64
	began  time.Duration
	took   time.Duration // when it ends by itself; 0: never
	how    string        // and how
}

// New returns a runner that has not sent a heartbeat yet.
func New(options Options) *Core { return &Core{options: options, barred: map[string]uint64{}} }

// Drain makes the runner say that it leaves.
func (c *Core) Drain() { c.draining = true }

// Busy tells whether anything runs.
func (c *Core) Busy() bool { return len(c.active) > 0 }

// Report returns the heartbeat to send now.
func (c *Core) Report(now time.Duration) *protocol.Heartbeat {
	c.Advance(now)
	c.sequence++
	beat := &protocol.Heartbeat{
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
		Finished: slices.Clone(c.finished[:min(len(c.finished), mostFinished)]),
	}
	if c.draining {
		beat.State = protocol.RunnerDraining
	}
	for _, r := range c.active {
		beat.Active = append(beat.Active, protocol.ActiveRun{Task: r.task, Run: r.number, Percent: r.percent(now)})
	}
	return beat
}

func (r *run) percent(now time.Duration) float64 {
	if r.took <= 0 {
		return 0
	}
	return min(100*float64(now-r.began)/float64(r.took), 99)
}

// Advance ends what is over: tasks by themselves, and all of them when the hold is.
func (c *Core) Advance(now time.Duration) {
	for _, r := range slices.Clone(c.active) {
		switch {
		case r.took > 0 && r.began+r.took <= min(now, c.heldUntil):
			c.end(now, r, r.how)
		case now >= c.heldUntil:
			c.end(now, r, protocol.EndLapsed)
		}
	}
}

// Obey carries out the answer to a heartbeat that was sent at a time.
func (c *Core) Obey(now, sent time.Duration, orders *protocol.Orders) {
	c.Advance(now)
	c.nextBeat = now + c.options.Interval
	if orders.RetryDelayMs > 0 {
		c.nextBeat = now + time.Duration(orders.RetryDelayMs)*time.Millisecond
	}
	if orders.FenceToken < c.fence {
		return
	}
	c.fence = orders.FenceToken
	c.forget(orders.LastSeen)
	if orders.HoldMs > 0 {
		hold := min(time.Duration(orders.HoldMs)*time.Millisecond, c.options.MaxLease)
		c.heldUntil = max(c.heldUntil, sent+hold)
	}
	for _, order := range orders.Stop {
		c.stop(now, order)
	}
	if orders.HoldMs > 0 && now < c.heldUntil {
		for i := range orders.Start {
			c.start(now, &orders.Start[i])
		}
	}
}

// Missed takes note that a heartbeat was not answered.
func (c *Core) Missed(now time.Duration, pause time.Duration) { c.nextBeat = now + pause }

// NextBeat returns when the next heartbeat is due, and NextEnd when something ends by itself before that.
func (c *Core) NextBeat() time.Duration { return c.nextBeat }

// NextEnd returns when Advance has something to end; false if nothing runs.
func (c *Core) NextEnd() (time.Duration, bool) {
	if len(c.active) == 0 {
		return 0, false
	}
	next := c.heldUntil
	for _, r := range c.active {
		if r.took > 0 {
			next = min(next, r.began+r.took)
		}
	}
	return next, true
}

func (c *Core) forget(lastSeen uint64) {
	c.finished = slices.DeleteFunc(c.finished, func(end protocol.FinishedRun) bool { return end.N <= lastSeen })
}

func (c *Core) start(now time.Duration, order *protocol.StartOrder) {
	for _, r := range c.active {
		if r.task == order.Task && r.number == order.Run {
			return
		}
	}
	if c.barred[order.Task] >= order.Run {
		c.list(now, order.Task, order.Run, protocol.EndRefused)
		return
	}
	started := &run{task: order.Task, number: order.Run, began: now}
	started.took, started.how = readSpec(order.Spec)
	c.active = append(c.active, started)
}

func (c *Core) stop(now time.Duration, order protocol.StopOrder) {
	for _, r := range c.active {
		if r.task == order.Task && r.number == order.Run {
			c.end(now, r, protocol.EndStopped)
			return
		}
	}
	c.barred[order.Task] = max(c.barred[order.Task], order.Run)
}

func (c *Core) end(now time.Duration, ended *run, how string) {
	c.active = slices.DeleteFunc(c.active, func(r *run) bool { return r == ended })
	c.list(now, ended.task, ended.number, how)
}

func (c *Core) list(now time.Duration, task string, number uint64, how string) {
	c.counter++
	c.finished = append(c.finished, protocol.FinishedRun{N: c.counter, Task: task, Run: number, How: how})
	c.barred[task] = max(c.barred[task], number)
	c.nextBeat = min(c.nextBeat, now+afterAnEnd)
}

// readSpec tells how long a task takes (0: until it is stopped), and how it ends.
func readSpec(spec string) (time.Duration, string) {
	words := strings.Fields(spec)
	if len(words) == 0 {
		return momentTime, protocol.EndDone
	}
	took := momentTime
	if len(words) > 1 {
		if given, err := time.ParseDuration(words[1]); err == nil && given > 0 && given <= longestTask {
			took = given
		}
	}
	switch words[0] {
	case "fail":
		return took, protocol.EndFailed
	case "last":
		return 0, protocol.EndDone
	case "sleep":
		return took, protocol.EndDone
	default:
		return momentTime, protocol.EndDone
	}
}
