package scheduler

import (
	"slices"
	"time"

	"ospreypond/internal/cluster/failure"
	"ospreypond/internal/cluster/protocol"
)

const (
	// maxHeartbeatDelay is the longest time from the sending of a heartbeat to its arrival, if no relay forwards it.
	maxHeartbeatDelay = time.Second
	// endedRetention is how long the owner refuses heartbeats of an incarnation after it has learnt of its end.
	endedRetention = 5 * time.Minute
)

var errIncarnationOver = failure.New(failure.Gone, "this incarnation of the runner has ended")

// incarnations are the incarnations of runners that the owner knows. An incarnation is one process of a runner; a
// restart of the runner creates a new incarnation. An incarnation's unique name is its instance.
type incarnations struct {
	current   map[string]*runner       // by instance
	byAddress map[string]string        // instance of the newest incarnation at each address
	ended     map[string]time.Duration // by instance: time at which the owner learnt that the incarnation has ended
}

func newIncarnations() incarnations {
	return incarnations{
		current:   map[string]*runner{},
		byAddress: map[string]string{},
		ended:     map[string]time.Duration{},
	}
}

func (i *incarnations) add(r *runner) { i.current[r.instance] = r }

// sorted returns the instances of the runners that match, sorted. Callers iterate over it instead of the map, so that the
// order of their decisions is deterministic.
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

// forgetEnded drops the records of ended incarnations that are older than endedRetention.
func (i *incarnations) forgetEnded(now time.Duration) {
	for instance, at := range i.ended {
		if now-at > endedRetention {
			delete(i.ended, instance)
		}
	}
}

// isAddressContested reports whether it is uncertain which of two incarnations at one address is newer: the unknown
// incarnation that sent the heartbeat, or the incarnation that is recorded there.
//
// The recorded incarnation may be the newer one if it had contact less than maxHeartbeatDelay ago, because the
// heartbeat may have been sent before that contact. If this owner knows an incarnation only from the shard's state, the
// start of the leadership is taken as its last contact. This gives it time to report before the heartbeat of another
// incarnation can end it. A relay may delay a heartbeat for any time, so a relayed heartbeat never ends another
// incarnation. An incarnation that has deregistered may be ended at once by a heartbeat that isn't relayed.
func (o *Owner) isAddressContested(now time.Duration, heartbeat *protocol.Heartbeat) bool {
	before := o.runners.current[o.runners.byAddress[heartbeat.Address]]
	if before == nil {
		return false
	}
	return heartbeat.Relayed || !before.hasDeregistered && now-max(before.lastContact, o.leadership.since) < maxHeartbeatDelay
}

// recordAddress records that the runner serves at its address. An earlier incarnation at that address has therefore ended.
func (o *Owner) recordAddress(now time.Duration, r *runner) {
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

// endIncarnation records that an incarnation has ended, and declares its runs lost.
func (o *Owner) endIncarnation(now time.Duration, instance string) {
	o.runners.ended[instance] = now
	r := o.runners.current[instance]
	if r == nil {
		return
	}
	r.respond(nil, errIncarnationOver)
	o.proposeAllLosses(r)
	delete(o.runners.current, instance)
}
