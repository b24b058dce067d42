package scheduler

import (
	"cmp"
	"slices"
	"time"

	"ospreypond/internal/cluster/failure"
	"ospreypond/internal/cluster/jobs"
	"ospreypond/internal/cluster/protocol"
)

// Limits of the starts in one answer. A runner drops an answer of more than 4 MiB, again and again.
const (
	maxStartBytes      = 3 << 20
	startOverheadBytes = 16 // of one start, beside its texts
	maxEscapedBytes    = 6  // that JSON takes for one byte of a text
)

// replyToHeartbeat answers a runner's newest heartbeat with its orders, or by an error without a recent confirmation of
// leadership. Starts are sent with a lease only.
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

// startOrders returns the starts that the shard has for the runner and that the runner does not list, the oldest first, as
// many as an answer may carry; the rest comes with the next one. A start that an earlier answer carried is sent again:
// that answer is void.
func (o *Owner) startOrders(r *runner) []protocol.StartOrder {
	var starts []protocol.StartOrder
	bytes := 0
	for _, task := range o.state.RunsOn(r.instance) {
		if !o.isToStart(r, task) {
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

// isToStart reports whether a run that may exist on the runner is to be started there.
func (o *Owner) isToStart(r *runner, task *jobs.Task) bool {
	key := runKey{task.ID, task.Run}
	if task.Phase != jobs.Running || o.proposals.isEnding(key) || task.Group.Job.Abandoned() || r.isDraining {
		return false
	}
	return !r.lists(key) && !r.isStopping(key)
}

// startBytes returns the most bytes that a start takes in an answer.
func startBytes(order *protocol.StartOrder) int {
	return startOverheadBytes + maxEscapedBytes*(len(order.Task)+len(order.Spec)+len(order.Saved))
}

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

// pollInterval returns the time to the runner's next heartbeat.
func (o *Owner) pollInterval(r *runner) time.Duration {
	if r.report.Relayed {
		return o.options.IdlePollInterval // each exchange takes a relay's time as well
	}
	if len(r.listed) > 0 || len(r.stops) > 0 || o.state.PendingCount() > 0 || len(o.state.RunsOn(r.instance)) > 0 {
		return o.options.BusyPollInterval
	}
	return o.options.IdlePollInterval
}
