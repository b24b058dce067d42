package scheduler

import (
	"cmp"
	"slices"
	"time"

	"ospreypond/internal/cluster/failure"
	"ospreypond/internal/cluster/jobs"
	"ospreypond/internal/cluster/protocol"
)

// answer sends the orders for a runner's newest heartbeat.
func (o *Owner) answer(now time.Duration, r *runner) {
	if !o.recentlyConfirmed(now) {
		r.answer(nil, failure.New(failure.NotLeader, "leadership could not be confirmed"))
		return
	}
	orders := &protocol.Orders{
		LastSeen:     o.state.LastSeen(r.instance),
		FenceToken:   o.term,
		RetryDelayMs: o.pollDelay(r).Milliseconds(),
	}
	o.grantHold(now, r, orders)
	if orders.HoldMs > 0 {
		orders.Start = o.startOrders(r)
	}
	orders.Stop = stopOrders(r)
	r.answer(orders, nil)
}

// grantHold gives a hold that ends no later than MaxLease after the moment at which leadership was last confirmed.
func (o *Owner) grantHold(now time.Duration, r *runner, orders *protocol.Orders) {
	if r.ended {
		return
	}
	hold := o.options.MaxLease - (now - o.confirmedAt)
	if hold < time.Millisecond {
		return
	}
	orders.HoldMs = hold.Milliseconds()
	r.holdEnd = max(r.holdEnd, now+time.Duration(float64(hold)*clockSlack))
}

// Bounds of the starts in one answer. An answer over 4 MiB is none for its runner, which would drop it again and again.
const (
	mostStartBytes = 3 << 20
	startRowBytes  = 16 // of one start, beside its texts
	escapedByte    = 6  // most bytes that JSON takes for one of a text
)

// startBytes is the most that a start takes in an answer.
func startBytes(order *protocol.StartOrder) int {
	return startRowBytes + escapedByte*(len(order.Task)+len(order.Spec)+len(order.Saved))
}

// startOrders are the starts that the shard holds for the runner and that it does not list, the oldest first, as many as
// an answer may carry; the rest comes with the next one. One that an earlier answer carried is sent again: that answer is
// void.
func (o *Owner) startOrders(r *runner) []protocol.StartOrder {
	var starts []protocol.StartOrder
	bytes := 0
	for _, task := range o.state.RunsOn(r.instance) {
		key := runKey{task.ID, task.Run}
		if task.Phase != jobs.Running || o.isEnding(key) || task.Group.Job.State.IsAbandoned() || r.draining {
			continue
		}
		if _, there := r.listed[key]; there {
			continue
		}
		if _, stopping := r.stops[key]; stopping {
			continue
		}
		order := protocol.StartOrder{
			Task: task.ID.String(), Run: task.Run, Spec: task.Group.Job.Spec.Spec, Saved: task.Checkpoint,
		}
		if bytes += startBytes(&order); bytes > mostStartBytes && len(starts) > 0 {
			break
		}
		starts = append(starts, order)
	}
	return starts
}

func stopOrders(r *runner) []protocol.StopOrder {
	stops := make([]protocol.StopOrder, 0, len(r.stops))
	for key := range r.stops {
		if _, there := r.listed[key]; there || r.report.Called {
			stops = append(stops, protocol.StopOrder{Task: key.task.String(), Run: key.run})
		}
	}
	slices.SortFunc(stops, func(a, b protocol.StopOrder) int {
		return cmp.Or(cmp.Compare(a.Task, b.Task), cmp.Compare(a.Run, b.Run))
	})
	return stops
}

func (o *Owner) pollDelay(r *runner) time.Duration {
	if r.report.Relayed {
		return o.options.PollIdle // each exchange takes a relay's time as well
	}
	if len(r.listed) > 0 || len(r.stops) > 0 || o.state.PendingCount() > 0 || len(o.state.RunsOn(r.instance)) > 0 {
		return o.options.PollBusy
	}
	return o.options.PollIdle
}
