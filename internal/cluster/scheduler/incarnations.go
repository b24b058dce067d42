package scheduler

import (
	"time"

	"ospreypond/internal/cluster/failure"
	"ospreypond/internal/cluster/protocol"
)

// placeTaken tells that another incarnation was heard from the heartbeat's address so lately that the heartbeat may be an
// old one that was long under way. One that is known only from the shard counts as heard when this leadership began: it
// gets the time to report here before a heartbeat of another can end it. A relayed heartbeat may have stood still with its
// relay for any time, and never ends another.
func (o *Owner) placeTaken(now time.Duration, beat *protocol.Heartbeat) bool {
	before := o.runners[o.byPlace[beat.Address]]
	if before == nil {
		return false
	}
	return beat.Relayed || !before.ended && now-max(before.heardAt, o.ledAt) < lateHeartbeat
}

// lateHeartbeat is the longest that a heartbeat is under way.
const lateHeartbeat = time.Second

// takePlace notes that the runner stands at its address: an earlier incarnation there is over.
func (o *Owner) takePlace(now time.Duration, r *runner) {
	place := r.report.Address
	if place == "" {
		return
	}
	before := o.byPlace[place]
	if before == r.instance {
		return
	}
	o.byPlace[place] = r.instance
	if before != "" {
		o.retire(now, before)
		return
	}
	o.dirty = true
}

// retire ends an incarnation that is certainly over: whatever ran there is lost.
func (o *Owner) retire(now time.Duration, instance string) {
	o.retired[instance] = now
	r := o.runners[instance]
	if r == nil {
		return
	}
	r.answer(nil, failure.New(failure.Gone, "this incarnation of the runner is over"))
	o.loseAll(r)
	delete(o.runners, instance)
}

// retiredFor is how long heartbeats of an incarnation that is over are still refused.
const retiredFor = 5 * time.Minute

func (o *Owner) forgetRetired(now time.Duration) {
	for instance, at := range o.retired {
		if now-at > retiredFor {
			delete(o.retired, instance)
		}
	}
}
