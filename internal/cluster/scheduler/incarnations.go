package scheduler

import (
	"slices"
	"time"

	"ospreypond/internal/cluster/failure"
	"ospreypond/internal/cluster/protocol"
)

const (
	// maxHeartbeatDelay is the longest time that a heartbeat takes to arrive.
	maxHeartbeatDelay = time.Second
	// endedRetention is how long heartbeats of an incarnation that is over are still refused.
	endedRetention = 5 * time.Minute
)

var errIncarnationOver = failure.New(failure.Gone, "this incarnation of the runner is over")

// incarnations are the incarnations of runners that the owner knows, by instance.
type incarnations struct {
	current   map[string]*runner
	byAddress map[string]string        // address: the newest instance that serves there
	ended     map[string]time.Duration // instances that are certainly over: when that was learnt
}

func newIncarnations() incarnations {
	return incarnations{
		current:   map[string]*runner{},
		byAddress: map[string]string{},
		ended:     map[string]time.Duration{},
	}
}

func (i *incarnations) add(r *runner) { i.current[r.instance] = r }

// sorted returns the instances of the runners that match, sorted: what is done with several at once is done in the same
// order each time.
func (i *incarnations) sorted(matches func(r *runner) bool) []string {
	var found []string
	for instance, r := range i.current {
		if matches(r) {
			found = append(found, instance)
		}
	}
	slices.Sort(found)
	return found
}

// forgetEnded forgets incarnations that have been over for long.
func (i *incarnations) forgetEnded(now time.Duration) {
	for instance, at := range i.ended {
		if now-at > endedRetention {
			delete(i.ended, instance)
		}
	}
}

// isAddressContested reports whether another incarnation at the heartbeat's address had its last contact so lately that
// the heartbeat may be an old one that was long under way. For an incarnation that is known only from the shard, contact
// counts from the beginning of this leadership: it gets the time to report here before a heartbeat of another can end it.
// A relayed heartbeat may have been delayed by its relay for any time, and never ends another incarnation.
func (o *Owner) isAddressContested(now time.Duration, heartbeat *protocol.Heartbeat) bool {
	before := o.runners.current[o.runners.byAddress[heartbeat.Address]]
	if before == nil {
		return false
	}
	return heartbeat.Relayed || !before.hasDeregistered && now-max(before.lastContact, o.leadership.since) < maxHeartbeatDelay
}

// takeAddress records that the runner serves at its address: an earlier incarnation there has ended.
func (o *Owner) takeAddress(now time.Duration, r *runner) {
	address := r.report.Address
	if address == "" {
		return
	}
	before := o.runners.byAddress[address]
	if before == r.instance {
		return
	}
	o.runners.byAddress[address] = r.instance
	if before != "" {
		o.endIncarnation(now, before)
		return
	}
	o.roundRequested = true
}

// endIncarnation ends an incarnation that is certainly over: its runs are lost.
func (o *Owner) endIncarnation(now time.Duration, instance string) {
	o.runners.ended[instance] = now
	r := o.runners.current[instance]
	if r == nil {
		return
	}
	r.respond(nil, errIncarnationOver)
	o.loseAll(r)
	delete(o.runners.current, instance)
}
