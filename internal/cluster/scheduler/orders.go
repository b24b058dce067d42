package scheduler

import (
	"cmp"
	"slices"
	"time"

	"ospreypond/internal/cluster/failure"
	"ospreypond/internal/cluster/jobs"
	"ospreypond/internal/cluster/protocol"
)

// Limits of the starts in one answer. A runner drops an answer of more than 4 MiB. The owner would repeat the same
// answer, so the runner would never start a run.
const (
	maxStartBytes      = 3 << 20 // bytes of all starts in one answer
	startOverheadBytes = 16      // bytes of one start without its strings: brackets, quotes, commas, the number of the run
	maxEscapedBytes    = 6       // largest number of bytes that JSON needs for one byte of a string, as in \u0001
)

// replyToHeartbeat answers a runner's newest heartbeat with orders, or with an error if the leadership wasn't confirmed
// recently. It orders starts only together with a lease.
func (o *Owner) replyToHeartbeat(now time.Duration, r *runner) {
	if !o.leadership.isConfirmed(now) {
		r.respond(nil, failure.New(failure.NotLeader, "leadership could not be confirmed"))
		return
	}
	orders := &protocol.Orders{
		LastSeen:     o.state.LastSeen(r.instance),
		FenceToken:   o.leadership.term,
		RetryDelayMs: o.pollInterval(r).Milliseconds(),
	}
	o.grantLease(now, r, orders)
	if orders.HoldMs > 0 {
		orders.Start = o.startOrders(r)
	}
	orders.Stop = stopOrders(r)
	r.respond(orders, nil)
}

// startOrders returns the starts of the runs that the shard has on the runner and that the runner doesn't list, the
// oldest first. It returns as many as fit into one answer, but at least one if there are any. Later answers have the
// rest. It repeats starts of earlier answers, because the runner may not have received those.
func (o *Owner) startOrders(r *runner) []protocol.StartOrder {
	var starts []protocol.StartOrder
	bytes := 0
	for _, task := range o.state.RunsOn(r.instance) {
		if !o.shouldStart(r, task) {
			continue
		}
		order := protocol.StartOrder{
			Task: task.ID.String(), Run: task.Run, Spec: task.Group.Job.Spec.Spec, Saved: task.Checkpoint,
		}
		if bytes += startBytes(&order); bytes > maxStartBytes && len(starts) > 0 {
			break
		}
		starts = append(starts, order)
	}
	return starts
}

// shouldStart reports whether the answer must order the start of a run that the shard has on the runner.
func (o *Owner) shouldStart(r *runner, task *jobs.Task) bool {
	key := runKey{task.ID, task.Run}
	if task.Phase != jobs.Running || o.proposals.isEnding(key) || task.Group.Job.Abandoned() || r.isDraining {
		return false
	}
	return !r.lists(key) && !r.isStopping(key)
}

// startBytes returns an upper bound of the bytes of a start in the JSON of an answer.
func startBytes(order *protocol.StartOrder) int {
	return startOverheadBytes + maxEscapedBytes*(len(order.Task)+len(order.Spec)+len(order.Saved))
}

// stopOrders returns the stops for the runner, sorted. A run that the runner doesn't list needs a stop only if the
// runner's agent calls it (Heartbeat.Called). A start may still reach such a runner, and the stop prevents it from
// taking effect.
func stopOrders(r *runner) []protocol.StopOrder {
	stops := make([]protocol.StopOrder, 0, len(r.stops))
	for key := range r.stops {
		if r.lists(key) || r.report.Called {
			stops = append(stops, protocol.StopOrder{Task: key.task.String(), Run: key.run})
		}
	}
	slices.SortFunc(stops, func(a, b protocol.StopOrder) int {
		return cmp.Or(cmp.Compare(a.Task, b.Task), cmp.Compare(a.Run, b.Run))
	})
	return stops
}

// pollInterval returns the time until the runner's next heartbeat.
func (o *Owner) pollInterval(r *runner) time.Duration {
	if r.report.Relayed {
		return o.options.IdlePollInterval // each exchange also costs the relay's processing time
	}
	if len(r.listed) > 0 || len(r.stops) > 0 || o.state.PendingCount() > 0 || len(o.state.RunsOn(r.instance)) > 0 {
		return o.options.BusyPollInterval
	}
	return o.options.IdlePollInterval
}
