package replica

import (
	"time"

	"github.com/go-kit/log/level"
)

const (
	// The disk is marked as unhealthy once a write has taken slowWriteTime.
	slowWriteTime = 500 * time.Millisecond
	// writeRetryInterval is the time from the failure of a write to its next attempt.
	writeRetryInterval = 250 * time.Millisecond
	// probeInterval is the time after which probe writes to an unhealthy disk to test whether it has recovered.
	probeInterval = time.Second
	// unhealthyCampaignTimeout is how long a group must have no leader before a member with a slow disk may campaign. A slow
	// leader is better than none.
	unhealthyCampaignTimeout = 4 * time.Second
	// resignedCampaignTimeout is how long a group must have no leader before a member that has resigned may campaign. It may
	// be the only one with the newest entries.
	resignedCampaignTimeout = time.Second
)

// diskHealth is the health of the disk, judged by its writes.
type diskHealth struct {
	unhealthy bool          // a write failed or took slowWriteTime or longer, and no write has been fast since
	failing   bool          // the last write failed
	retryAt   time.Duration // when the failed write may be retried; 0 if none has failed
	probeAt   time.Duration // when probe may write next
	writeTime time.Duration // how long a write takes: the longest recent time, which decays by 1/8 with each write
}

// recordWriteTime updates health.writeTime and passes it to the groups' nodes, since a vote in an election is sent only
// after it is written. The time is limited to slowWriteTime: an unhealthy disk must not lengthen timeouts without bound.
func (w *writer) recordWriteTime(took time.Duration) {
	w.health.writeTime = min(max(took, w.health.writeTime*7/8), slowWriteTime)
	for _, g := range w.engine.groups {
		g.node.SetWriteTime(w.health.writeTime)
	}
}

// checkWriteTime marks the disk as unhealthy once the write in progress has taken slowWriteTime.
func (w *writer) checkWriteTime() {
	if w.busy && !w.health.unhealthy && w.engine.now-w.inflight.startedAt >= slowWriteTime {
		w.markUnhealthy()
	}
}

// deadline returns the time at which checkWriteTime has to look at the write in progress, or submit has to retry a failed
// one. It is infinite if there is neither.
func (w *writer) deadline() time.Duration {
	switch {
	case w.busy && !w.health.unhealthy:
		return w.inflight.startedAt + slowWriteTime
	case !w.busy && w.inflight != nil:
		return w.health.retryAt
	default:
		return infinite
	}
}

// markUnhealthy marks the disk as unhealthy. If it was not before, this process stops campaigning, and maintain transfers
// the leaderships that it has.
func (w *writer) markUnhealthy() {
	w.health.probeAt = w.engine.now + probeInterval
	if w.health.unhealthy {
		return
	}
	w.health.unhealthy = true
	_ = level.Warn(w.engine.options.Logger).Log("msg", "disk is unhealthy: transferring leaderships", "failing", w.health.failing)
	w.engine.setCampaigns()
	w.engine.maintainAt = w.engine.now
}

// recordSuccess records that a write has succeeded, and how long it took. An unhealthy disk has recovered if the write was
// faster than slowWriteTime.
func (w *writer) recordSuccess(took time.Duration) {
	w.recordWriteTime(took)
	w.health.failing = false
	w.health.retryAt = 0
	if !w.health.unhealthy {
		return
	}
	if took >= slowWriteTime {
		w.health.probeAt = w.engine.now + probeInterval
		return
	}
	w.health.unhealthy = false
	_ = level.Info(w.engine.options.Logger).Log("msg", "disk has recovered")
	w.engine.setCampaigns()
}

// probe tests every probeInterval whether an unhealthy disk has recovered. If no other write is due, it writes an unchanged
// hard state again; recordSuccess or recordFailure judges the outcome.
func (w *writer) probe() {
	idle := !w.busy && w.inflight == nil && w.pending.batch.Empty()
	if !w.health.unhealthy || !idle || w.engine.now < w.health.probeAt || len(w.engine.groups) == 0 {
		return
	}
	g := w.engine.groups[0]
	w.pending.batch.HardState(g.id, g.hardState)
}

// setCampaigns tells each group's node whether it may campaign.
func (e *Engine) setCampaigns() {
	for _, g := range e.groups {
		g.node.SetCampaignAllowed(g.mayCampaign())
	}
}

// mayCampaign reports whether this member may campaign to become the leader:
//   - never while writes fail, or while the process is quiesced for its decommission;
//   - if the process has resigned or its disk is slow, only once the group has had no leader for some time;
//   - otherwise always.
func (g *group) mayCampaign() bool {
	e := g.engine
	switch {
	case e.writer.health.failing || e.decommission.phase == quiesced:
		return false
	case e.transfers.resigning:
		return e.now-g.leaderSeenAt >= resignedCampaignTimeout
	case e.writer.health.unhealthy:
		return e.now-g.leaderSeenAt >= unhealthyCampaignTimeout
	default:
		return true
	}
}
