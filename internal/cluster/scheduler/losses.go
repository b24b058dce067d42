package scheduler

import (
	"time"

	"ospreypond/internal/cluster/jobs"
	"ospreypond/internal/cluster/latency"
)

// withdraw deals with runs that were to start there and that the newest heartbeat does not list: every earlier answer is
// void by now, so that such a run exists only if this heartbeat's answer orders it. A runner that is called may still be
// reached by a start of an agent that has ended since: there a run is over only once the runner has refused it for good.
func (o *Owner) withdraw(now time.Duration, r *runner) {
	if len(r.report.Finished) >= finishedPage {
		return
	}
	for _, task := range o.state.RunsOn(r.instance) {
		key := runKey{task.ID, task.Run}
		if task.Phase != jobs.Running || o.isEnding(key) {
			continue
		}
		if _, there := r.listed[key]; there {
			continue
		}
		_, stopping := r.stops[key]
		gone := r.draining || stopping || o.tooLate(now, r, task)
		switch {
		case !task.Group.Job.State.IsAbandoned() && !gone:
		case r.report.Called:
			o.stop(now, r, key)
		case task.Group.Job.State.IsAbandoned() || !o.mayRunUnlisted(now, r, key):
			o.lose(r, task)
		}
	}
	for _, l := range o.state.LingeringOn(r.instance) {
		key := runKey{l.Task, l.Run}
		if _, there := r.listed[key]; there || o.isEnding(key) {
			continue
		}
		if r.report.Called {
			o.stop(now, r, key)
			continue
		}
		o.loseLingering(r, key)
	}
}

// loseLingering proposes that a run, of a gang's member that is done, is no more.
func (o *Owner) loseLingering(r *runner, key runKey) {
	o.ending[key] = r.runOf(r.heardAt, key, latency.Lost)
	delete(r.stops, key)
	o.next.Losses = append(o.next.Losses, jobs.Loss{Runner: r.instance, Task: key.task, Run: key.run})
}

// mayRunUnlisted tells that a run of an earlier owner may be there although the newest heartbeat here does not list it: that
// one may have come late, after the earlier owner answered a newer one. Nothing runs there any more once the holds which
// that owner gave are over, unless a heartbeat lists it here.
func (o *Owner) mayRunUnlisted(now time.Duration, r *runner, key runKey) bool {
	return r.inherited[key] && now < o.ledAt+o.longestHold()
}

// orderTime is how long a start may wait for its runner, at most; a gang's members must come together.
const orderTime = 4 * time.Second

// tooLate tells that a start has not reached its runner for so long that it is better made elsewhere.
func (o *Owner) tooLate(now time.Duration, r *runner, task *jobs.Task) bool {
	at, ok := r.ordered[runKey{task.ID, task.Run}]
	if !ok {
		at = o.ledAt
	}
	limit := orderTime
	if task.Group.Spec().Gang {
		limit = min(limit, o.options.GangWait/2)
	}
	return now-at > limit
}

// lose proposes that a run is no more.
func (o *Owner) lose(r *runner, task *jobs.Task) {
	key := runKey{task.ID, task.Run}
	if o.isEnding(key) {
		return
	}
	o.ending[key] = r.runOf(r.heardAt, key, latency.Lost)
	o.counters.Losses++
	saved := ""
	if l := r.listed[key]; l != nil {
		saved = l.saved
	}
	delete(r.stops, key)
	delete(r.ordered, key)
	o.dirty = true
	o.next.Losses = append(o.next.Losses, jobs.Loss{Runner: r.instance, Task: task.ID, Run: task.Run, Checkpoint: saved})
}

func (o *Owner) loseAll(r *runner) {
	for _, task := range o.state.RunsOn(r.instance) {
		if task.Phase == jobs.Running {
			o.lose(r, task)
		}
	}
	for _, l := range o.state.LingeringOn(r.instance) {
		if key := (runKey{l.Task, l.Run}); !o.isEnding(key) {
			o.loseLingering(r, key)
		}
	}
}

// expireHolds gives up what silent runners ran, once their last hold is certainly over.
func (o *Owner) expireHolds(now time.Duration) {
	isSilent := func(r *runner) bool { return !r.reported || now-r.heardAt > usableSilence }
	over := o.instances(func(r *runner) bool { return now >= r.holdEnd && (r.ended || isSilent(r)) })
	for _, instance := range over {
		r := o.runners[instance]
		o.loseAll(r)
		if isSilent(r) && now-r.holdEnd > forgetSilent && r.reply == nil && len(o.state.RunsOn(instance)) == 0 {
			delete(o.runners, instance)
		}
	}
}

// AwaitsLeaseExpiry tells whether something was running on a runner that is silent or ends, and may still do so because its hold
// is not over. A successor would wait anew, for the longest hold.
func (o *Owner) AwaitsLeaseExpiry(now time.Duration) bool {
	for instance, r := range o.runners {
		gone := r.ended || !r.reported || now-r.heardAt > usableSilence
		if gone && now < r.holdEnd && (len(o.state.RunsOn(instance)) > 0 || len(o.state.LingeringOn(instance)) > 0) {
			return true
		}
	}
	return false
}

// forgetSilent is how long a silent runner is kept after its hold, so that one which has said that it ends and still
// sends heartbeats is not taken for a new one.
const forgetSilent = 30 * time.Second
