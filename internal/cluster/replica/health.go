package replica

import (
	"time"

	"github.com/go-kit/log/level"
)

const (
	// slowWrite is the time of one write from which on a disk counts as sick.
	slowWrite = 500 * time.Millisecond
	// retryInterval is the time between two tries of a write that fails.
	retryInterval = 250 * time.Millisecond
	// probeInterval is the time between two writes that only tell whether a sick disk is well again.
	probeInterval = time.Second
	// leaderlessPatience is after how long without a leader a member with a slow disk stands all the same: a slow
	// leader is better than none.
	leaderlessPatience = 4 * time.Second
	// resignedPatience is the same for a member that ends soon: it may be the only one with the newest entries.
	resignedPatience = time.Second
)

// health is what is known of the disk.
type health struct {
	sick    bool          // writes fail, or take too long
	failing bool          // the last write failed
	retryAt time.Duration // no earlier than this is anything written
	probeAt time.Duration
	took    time.Duration // how long writes take: the slowest of late, fading
}

// noteTime keeps how long writes take, and tells the groups, whose elections wait for votes to be written. What a sick
// disk takes is no measure.
func (w *writer) noteTime(took time.Duration) {
	w.health.took = min(max(took, w.health.took*7/8), slowWrite)
	for _, g := range w.engine.groups {
		g.node.SetWriteTime(w.health.took)
	}
}

// check looks whether the present write takes too long.
func (w *writer) check() {
	if w.busy && !w.health.sick && w.engine.now-w.inflight.started >= slowWrite {
		w.sicken()
	}
}

// deadline is when check or submit has something to do next.
func (w *writer) deadline() time.Duration {
	switch {
	case w.busy && !w.health.sick:
		return w.inflight.started + slowWrite
	case !w.busy && w.inflight != nil:
		return w.health.retryAt
	default:
		return never
	}
}

// sicken stops this process from standing for election; superintend gives away what it leads.
func (w *writer) sicken() {
	w.health.probeAt = w.engine.now + probeInterval
	if w.health.sick {
		return
	}
	w.health.sick = true
	_ = level.Warn(w.engine.options.Logger).Log("msg", "disk is sick: leaderships are given away", "failing", w.health.failing)
	w.engine.setCampaigns()
	w.engine.manage = w.engine.now
}

// wrote takes note of a write that succeeded.
func (w *writer) wrote(took time.Duration) {
	w.noteTime(took)
	w.health.failing = false
	w.health.retryAt = 0
	if !w.health.sick {
		return
	}
	if took >= slowWrite {
		w.health.probeAt = w.engine.now + probeInterval
		return
	}
	w.health.sick = false
	_ = level.Info(w.engine.options.Logger).Log("msg", "disk is well again")
	w.engine.setCampaigns()
}

// superintend writes something now and then to a sick disk, to see whether it is well.
func (w *writer) superintend() {
	idle := !w.busy && w.inflight == nil && w.pending.batch.Empty()
	if !w.health.sick || !idle || w.engine.now < w.health.probeAt || len(w.engine.groups) == 0 {
		return
	}
	g := w.engine.groups[0]
	w.pending.batch.HardState(g.id, g.hardState)
}

// setCampaigns lets each group's member stand for election, or not.
func (e *Engine) setCampaigns() {
	for _, g := range e.groups {
		g.node.SetCampaignAllowed(g.mayCampaign())
	}
}

func (g *group) mayCampaign() bool {
	e := g.engine
	switch {
	case e.writer.health.failing || e.departure.quiet:
		return false
	case e.shifts.resigning:
		return e.now-g.leaderSeenAt >= resignedPatience
	case e.writer.health.sick:
		return e.now-g.leaderSeenAt >= leaderlessPatience
	default:
		return true
	}
}
