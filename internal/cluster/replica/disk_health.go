package replica

import (
	"time"

	"github.com/go-kit/log/level"
)

const (
	// slowWriteTime is how long one write may take before the disk counts as unhealthy.
	slowWriteTime = 500 * time.Millisecond
	// writeRetryInterval is the time between two attempts of a write that fails.
	writeRetryInterval = 250 * time.Millisecond
	// probeInterval is the time between two writes that only test whether an unhealthy disk has recovered.
	probeInterval = time.Second
	// unhealthyCampaignTimeout is after how long without a leader a member with a slow disk campaigns all the same: a slow
	// leader is better than none.
	unhealthyCampaignTimeout = 4 * time.Second
	// resignedCampaignTimeout is the same for a member that is about to end: it may be the only one with the newest
	// entries.
	resignedCampaignTimeout = time.Second
)

// diskHealth is what the writer knows of the disk.
type diskHealth struct {
	unhealthy bool          // writes fail, or take slowWriteTime or longer
	failing   bool          // the last write failed
	retryAt   time.Duration // nothing is written before this
	probeAt   time.Duration
	writeTime time.Duration // of the slowest of the recent writes; older ones fade
}

// recordWriteTime updates how long writes take, and passes it to the groups, whose elections have to wait for votes to
// be written. It is limited to slowWriteTime: an unhealthy disk is no measure for timeouts.
func (w *writer) recordWriteTime(took time.Duration) {
	w.health.writeTime = min(max(took, w.health.writeTime*7/8), slowWriteTime)
	for _, g := range w.engine.groups {
		g.node.SetWriteTime(w.health.writeTime)
	}
}

// checkWriteTime marks the disk unhealthy if the write in progress takes too long.
func (w *writer) checkWriteTime() {
	if w.busy && !w.health.unhealthy && w.engine.now-w.inflight.started >= slowWriteTime {
		w.noteUnhealthy()
	}
}

// deadline returns when checkWriteTime or submit has something to do next.
func (w *writer) deadline() time.Duration {
	switch {
	case w.busy && !w.health.unhealthy:
		return w.inflight.started + slowWriteTime
	case !w.busy && w.inflight != nil:
		return w.health.retryAt
	default:
		return never
	}
}

// noteUnhealthy stops this process from campaigning, and has maintain transfer the leaderships that it has.
func (w *writer) noteUnhealthy() {
	w.health.probeAt = w.engine.now + probeInterval
	if w.health.unhealthy {
		return
	}
	w.health.unhealthy = true
	_ = level.Warn(w.engine.options.Logger).Log("msg", "disk is unhealthy: transferring leaderships", "failing", w.health.failing)
	w.engine.setCampaigns()
	w.engine.maintainAt = w.engine.now
}

// recordSuccess records a write that succeeded, after which the disk may have recovered.
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

// probe now and then writes a hard state again to an unhealthy disk that has nothing else to write, to see whether it
// has recovered.
func (w *writer) probe() {
	idle := !w.busy && w.inflight == nil && w.pending.batch.Empty()
	if !w.health.unhealthy || !idle || w.engine.now < w.health.probeAt || len(w.engine.groups) == 0 {
		return
	}
	g := w.engine.groups[0]
	w.pending.batch.HardState(g.id, g.hardState)
}

// setCampaigns sets for each group whether its member may campaign.
func (e *Engine) setCampaigns() {
	for _, g := range e.groups {
		g.node.SetCampaignAllowed(g.mayCampaign())
	}
}

// mayCampaign reports whether this member may campaign: not while its process avoids leadership, unless there has been
// no leader for some time.
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
