package cluster

import (
	"time"

	"ospreypond/internal/configuration"
	"ospreypond/internal/failure"
	"ospreypond/internal/protocol"
	"ospreypond/internal/simulation"
)

// Times of the directory, as in production.
const (
	watchWait      = time.Second
	watchSlack     = 600 * time.Millisecond
	attemptTimeout = 600 * time.Millisecond
	leastRefresh   = 200 * time.Millisecond
	leastPause     = 30 * time.Millisecond
	mostPause      = 200 * time.Millisecond
	watchSpan      = 50 * time.Millisecond
)

// directory is what a frontend or an agent knows of the configuration and of shards' owners. It is modelled after
// internal/directory: one watch at the configuration's owner, and calls that find a shard's owner.
type directory struct {
	cluster     *Cluster
	machine     *simulation.Machine
	document    *configuration.Document
	whole       bool // ask for a whole document
	ownersAt    uint64
	addresses   []string
	owners      map[protocol.ShardID]string
	confirmedAt time.Duration // sending of the newest watch that was answered; -1: none
	target      string
	watchedAt   time.Duration
	breakOff    func()
	waiting     []func() // woken when owners or the document change
	failures    int
	short       bool
}

func newDirectory(c *Cluster, m *simulation.Machine) *directory {
	d := &directory{cluster: c, machine: m, owners: map[protocol.ShardID]string{}, confirmedAt: simulation.Never}
	for _, seed := range c.seeds() {
		d.addresses = append(d.addresses, seed.Name)
	}
	d.target = simulation.Pick(c.world, d.addresses)
	d.watch()
	return d
}

func (d *directory) now() time.Duration { return d.machine.Steady() }

func (d *directory) version() uint64 {
	if d.document == nil {
		return 0
	}
	return d.document.Version()
}

// fresh tells whether what is known here was in force at some moment within the last while.
func (d *directory) fresh(within time.Duration) bool {
	return d.confirmedAt != simulation.Never && d.now()-d.confirmedAt <= within
}

// refresh has the watch ask anew at once, unless it was sent a moment ago.
func (d *directory) refresh() {
	if d.breakOff == nil || d.now()-d.watchedAt < leastRefresh {
		return
	}
	breakOff := d.breakOff
	d.breakOff = nil
	breakOff()
}

// watch sends one watch and goes on for ever.
func (d *directory) watch() {
	request := &protocol.WatchRequest{Version: d.version(), Owners: d.ownersAt, WaitMs: watchWait.Milliseconds(),
		Node: d.machine.Name, Changes: true}
	if d.whole {
		request.Version = 0
	}
	if d.short {
		request.WaitMs = 0
	}
	sent := d.now()
	d.watchedAt = sent
	over := false
	once := func(f func()) {
		if !over {
			over = true
			d.breakOff = nil
			f()
		}
	}
	if !d.short {
		d.breakOff = func() { once(func() { d.short = true; d.watch() }) }
	}
	from := d.target
	wait := time.Duration(request.WaitMs)*time.Millisecond + watchSlack
	d.cluster.call(d.machine, from, request, wait, func(response any, err error) {
		once(func() { d.watched(from, sent, response, err) })
	})
}

func (d *directory) watched(from string, sent time.Duration, response any, err error) {
	if err != nil {
		d.watchFailed(err)
		return
	}
	d.short, d.failures = false, 0
	answer := response.(*protocol.WatchResponse)
	brought, ok := d.take(answer)
	if !ok {
		d.machine.After(watchSpan, d.watch)
		return
	}
	d.confirmedAt = max(d.confirmedAt, sent)
	d.owners[protocol.ConfigurationShard] = from
	if brought {
		d.wake()
		d.watch()
		return
	}
	d.machine.After(max(0, watchSpan-(d.now()-sent)), d.watch)
}

// take takes over what an answer brings. It tells false if the answer is older than what is known or lacks the document.
func (d *directory) take(answer *protocol.WatchResponse) (brought, ok bool) {
	if answer.Version < d.version() {
		return false, false
	}
	if answer.OwnersAt != d.ownersAt && len(answer.Owners) > 0 {
		d.ownersAt = answer.OwnersAt
		d.addresses = nil
		for _, member := range answer.Members {
			d.addresses = append(d.addresses, member.Address)
		}
		for shard, owner := range answer.Owners {
			d.owners[shard] = owner
		}
		brought = true
	}
	if answer.Version == d.version() {
		return brought, true
	}
	document, err := configuration.Advance(d.document, answer.Configuration)
	d.whole = err != nil
	if err != nil {
		return brought, false
	}
	d.document = document
	return true, true
}

func (d *directory) watchFailed(err error) {
	leader := failure.LeaderOf(err)
	if leader != "" && leader != d.target {
		d.target = leader
		d.machine.After(5*time.Millisecond, d.watch)
		return
	}
	d.failures++
	if d.owners[protocol.ConfigurationShard] == d.target {
		delete(d.owners, protocol.ConfigurationShard)
	}
	d.target = d.after(d.target)
	if failure.KindOf(err) == failure.UnknownOutcome && d.failures == 1 {
		d.watch()
		return
	}
	d.machine.After(50*time.Millisecond<<min(d.failures-1, 3), d.watch)
}

// after returns the address that follows another.
func (d *directory) after(address string) string {
	for i, known := range d.addresses {
		if known == address {
			return d.addresses[(i+1)%len(d.addresses)]
		}
	}
	return d.addresses[0]
}

func (d *directory) first(shard protocol.ShardID) string {
	if owner := d.owners[shard]; owner != "" {
		return owner
	}
	return simulation.Pick(d.cluster.world, d.addresses)
}

// wake calls what waits for news.
func (d *directory) wake() {
	waiting := d.waiting
	d.waiting = nil
	for _, f := range waiting {
		f()
	}
}

// call asks a shard's owner until a deadline, or until stopped returns true: then done is not called. done is called once.
func (d *directory) call(shard protocol.ShardID, request any, until time.Duration, repeat bool, stopped func() bool,
	done func(response any, err error)) {
	attempt := &attempts{directory: d, shard: shard, request: request, until: until, repeat: repeat, stopped: stopped, done: done}
	attempt.try(d.first(shard))
}

// attempts is one call on its way.
type attempts struct {
	directory *directory
	shard     protocol.ShardID
	request   any
	until     time.Duration
	repeat    bool
	stopped   func() bool
	done      func(response any, err error)
	unknown   error
	refused   error
	hints     int
	pauses    int
}

func (a *attempts) end(last error) {
	switch {
	case a.unknown != nil:
		a.done(nil, a.unknown)
	case last != nil:
		a.done(nil, last)
	case a.refused != nil:
		a.done(nil, a.refused)
	default:
		a.done(nil, failure.New(failure.Unavailable, "no time to ask the shard's owner"))
	}
}

func (a *attempts) try(target string) {
	d := a.directory
	if a.stopped() {
		return
	}
	left := a.until - d.now()
	if left <= 0 {
		a.end(nil)
		return
	}
	d.cluster.call(d.machine, target, a.request, min(left, attemptTimeout), func(response any, err error) {
		if a.stopped() {
			return
		}
		a.after(target, response, err)
	})
}

func (a *attempts) after(target string, response any, err error) {
	d := a.directory
	switch failure.KindOf(err) {
	case failure.None:
		d.owners[a.shard] = target
		a.done(response, nil)
	case failure.NotLeader:
		a.refused = err
		leader := failure.LeaderOf(err)
		if leader != "" && leader != target && a.hints < 2 {
			a.hints++
			d.owners[a.shard] = leader
			a.try(leader)
			return
		}
		a.pause(target)
	case failure.Unavailable:
		a.refused = err
		a.pause(target)
	case failure.UnknownOutcome:
		a.unknown = err
		if !a.repeat {
			a.done(nil, err)
			return
		}
		a.pause(target)
	default:
		a.end(err)
	}
}

// pause waits before the next attempt, elsewhere.
func (a *attempts) pause(target string) {
	d := a.directory
	if d.owners[a.shard] == target {
		delete(d.owners, a.shard)
	}
	d.refresh()
	a.hints = 0
	pause := min(leastPause<<min(a.pauses, 3), mostPause)
	a.pauses++
	gone := false
	next := func() {
		if gone {
			return
		}
		gone = true
		if owner := d.owners[a.shard]; owner != "" {
			a.try(owner)
			return
		}
		a.try(d.after(target))
	}
	d.waiting = append(d.waiting, next)
	d.machine.After(min(pause, max(0, a.until-d.now())), next)
}
