package control

import (
	"cmp"
	"encoding/binary"
	"hash/fnv"
	"maps"
	"slices"
	"time"

	"ospreypond/internal/cluster/failure"
	"ospreypond/internal/cluster/protocol"
)

const (
	// earlyResponseFraction is the fraction of a watch's wait by which its response may be early, so that one leadership
	// confirmation serves many watches.
	earlyResponseFraction = 0.2
	// maxWatchWait bounds the wait that a caller may request.
	maxWatchWait = 30 * time.Second
	// maxWatches bounds the watches that are pending at once.
	maxWatches = 4096
)

// feedSource holds the newest configuration that is committed.
type feedSource interface {
	// Version returns its version; 0: there is none yet.
	Version() uint64
	// Since returns what a follower needs to get there from an older version: changes only, where it can take those.
	Since(version uint64, canTakeChanges bool) ([]byte, error)
}

// Feed answers the watches of the frontends and agents that follow the configuration and the owners of the shards. Only the
// owner of the configuration's shard feeds. Feed has no clock, goroutines or I/O, and is used by one goroutine.
//
// A watch is answered when something is newer than what its request names, or when its wait is nearly over, and only
// after a quorum has confirmed the leadership by a confirmation that was requested after the watch came: so no process
// that has been superseded says that nothing is new. One confirmation serves all watches that are pending by then.
//
// Its user asks BeginConfirmation after each input and by Deadline. When that returns true it has a quorum confirm the
// leadership, and then calls Confirmed or Unconfirmed.
type Feed struct {
	source     feedSource
	isLeader   bool
	leaderHint string // while not leader: internal address of the owner as far as known
	watches    []*pendingWatch
	revision   uint64 // of members and owners, see revisionOf
	members    []protocol.Member
	owners     map[protocol.ShardID]string
	relays     relayTable
	compressor compressor

	confirmation            uint64        // counts the confirmations requested
	confirming              bool          // the newest one is under way
	confirmationRequestedAt time.Duration // of the newest one
}

// pendingWatch is a watch without a response yet.
type pendingWatch struct {
	request          *protocol.WatchRequest
	reply            func(*protocol.WatchResponse, error)
	deadline         time.Duration // when it must be answered
	earliestResponse time.Duration // when it may be answered along with others, though nothing is new
	receivedAt       time.Duration // the loop's time when it was received
	arrivedBy        time.Duration // a later time of the loop, by which it had certainly arrived; or unknownTime
	confirmation     uint64        // the newest confirmation that was requested before it came
}

// unknownTime is a time that is not known yet.
const unknownTime time.Duration = -1

// NewFeed returns the feed of a process that is not the leader.
func NewFeed(source feedSource) *Feed { return &Feed{source: source, relays: newRelayTable()} }

// BecomeLeader starts the ownership of the configuration's shard.
func (f *Feed) BecomeLeader() {
	f.isLeader = true
	f.confirming = false
}

// BecomeFollower ends the ownership, and rejects all pending watches. leader is the new owner's internal address, or "".
func (f *Feed) BecomeFollower(leader string) {
	f.isLeader = false
	f.leaderHint = leader
	f.confirming = false
	f.rejectWatches(func(*pendingWatch) bool { return true })
}

// Watch adds a watch that was received at now. reply is called once: now, or by a later call of another method.
func (f *Feed) Watch(now time.Duration, request *protocol.WatchRequest, reply func(*protocol.WatchResponse, error)) {
	if !f.isLeader {
		reply(nil, notConfigurationOwner(f.leaderHint))
		return
	}
	if len(f.watches) >= maxWatches {
		reply(nil, failure.New(failure.Overloaded, "too many watches are pending"))
		return
	}
	f.relays.record(now, request)
	wait := min(max(time.Duration(request.WaitMs)*time.Millisecond, 0), maxWatchWait)
	early := wait - time.Duration(float64(wait)*earlyResponseFraction)
	f.watches = append(f.watches, &pendingWatch{
		request:          request,
		reply:            reply,
		deadline:         now + wait,
		earliestResponse: now + early,
		receivedAt:       now,
		arrivedBy:        unknownTime,
		confirmation:     f.confirmation,
	})
}

// SetOwners sets the members and owners. Their revision is a hash of them, so that successive owners of the
// configuration that know the same give it the same number.
func (f *Feed) SetOwners(members []protocol.Member, owners map[protocol.ShardID]string) {
	f.members = slices.Clone(members)
	slices.SortFunc(f.members, func(a, b protocol.Member) int { return cmp.Compare(a.ID, b.ID) })
	f.owners = maps.Clone(owners)
	f.revision = revisionOf(f.members, f.owners)
}

// BeginConfirmation reports whether the leadership must be confirmed now for a watch. If so, the caller must request that
// from a quorum, and report the result by Confirmed or Unconfirmed.
func (f *Feed) BeginConfirmation(now time.Duration) bool {
	f.recordArrivals(now)
	if !f.isLeader || f.confirming || !slices.ContainsFunc(f.watches, func(w *pendingWatch) bool { return f.mustRespond(now, w) }) {
		return false
	}
	f.confirming = true
	f.confirmationRequestedAt = now
	f.confirmation++
	return true
}

// recordArrivals records for new watches a time by which they had certainly arrived, from which on their wait counts. The
// loop's time does not advance within a step, so that is the first time later than the one of their receipt.
func (f *Feed) recordArrivals(now time.Duration) {
	for _, watch := range f.watches {
		if watch.arrivedBy == unknownTime && now > watch.receivedAt {
			watch.arrivedBy = now
		}
	}
}

// Confirmed is called when a quorum has confirmed the leadership. It answers the watches that came before that was
// requested, if there is something new for them or they have waited nearly long enough.
func (f *Feed) Confirmed(now time.Duration) {
	if !f.isLeader || !f.confirming {
		return
	}
	f.confirming = false
	f.finish(func(w *pendingWatch) bool { return w.confirmation < f.confirmation && f.mayRespond(now, w) }, f.respond)
}

// Unconfirmed is called when the confirmation failed. It rejects the watches that came before it was requested. leader is
// the internal address of the owner as far as known, or "".
func (f *Feed) Unconfirmed(leader string) {
	if !f.confirming {
		return
	}
	f.confirming = false
	f.leaderHint = leader
	f.rejectWatches(func(w *pendingWatch) bool { return w.confirmation < f.confirmation })
}

// Deadline returns when BeginConfirmation must be called again at the latest: at once if there is something new for a
// watch, else when the first wait is over. It returns false while a confirmation is under way or no watch is pending.
func (f *Feed) Deadline() (time.Duration, bool) {
	if len(f.watches) == 0 || f.confirming {
		return 0, false
	}
	deadline := f.watches[0].deadline
	for _, watch := range f.watches {
		if f.hasUpdate(watch) {
			return 0, true
		}
		deadline = min(deadline, watch.deadline)
	}
	return deadline, true
}

// mustRespond reports whether a watch is due, so that a confirmation is worth requesting for it.
func (f *Feed) mustRespond(now time.Duration, w *pendingWatch) bool {
	return now >= w.deadline || f.hasUpdate(w)
}

// mayRespond reports whether a watch may be answered if a confirmation is there, requested for others.
func (f *Feed) mayRespond(now time.Duration, w *pendingWatch) bool {
	return now >= w.earliestResponse || f.hasUpdate(w)
}

// hasUpdate reports whether something is newer than what a watch's request names.
func (f *Feed) hasUpdate(w *pendingWatch) bool {
	newer := !w.request.OwnersOnly && f.source.Version() > w.request.Version
	return newer || f.revision != w.request.Owners
}

// respond answers a watch with what is new to it.
func (f *Feed) respond(w *pendingWatch) {
	response := &protocol.WatchResponse{Version: f.source.Version(), OwnersAt: f.revision, HeldMs: f.pendingMs(w)}
	response.Relays = f.relays.pick(f.confirmationRequestedAt, w.request)
	if response.Version > w.request.Version && !w.request.OwnersOnly {
		body, err := f.source.Since(w.request.Version, w.request.Changes)
		if err != nil {
			w.reply(nil, failure.New(failure.Unavailable, err.Error()))
			return
		}
		response.Configuration = body
		if w.request.Compressed {
			f.compress(response)
		}
	}
	if f.revision != w.request.Owners {
		response.Members = f.members
		response.Owners = f.owners
	}
	w.reply(response, nil)
}

// compress compresses a response's configuration if it is large.
func (f *Feed) compress(response *protocol.WatchResponse) {
	if packed, ok := f.compressor.compress(response.Configuration); ok {
		response.Configuration, response.Compressed = packed, true
	}
}

// pendingMs returns for how many ms a watch was certainly pending when the newest confirmation was requested. The response
// was current then, so the watcher knows how old it is at most.
func (f *Feed) pendingMs(w *pendingWatch) int64 {
	if w.arrivedBy == unknownTime {
		return 0
	}
	return max(f.confirmationRequestedAt-w.arrivedBy, 0).Milliseconds()
}

// rejectWatches ends the selected watches with an error that names the owner as far as known.
func (f *Feed) rejectWatches(which func(w *pendingWatch) bool) {
	f.finish(which, func(w *pendingWatch) { w.reply(nil, notConfigurationOwner(f.leaderHint)) })
}

// finish removes the watches that which selects, then ends each.
func (f *Feed) finish(which func(w *pendingWatch) bool, end func(w *pendingWatch)) {
	var ending []*pendingWatch
	f.watches = slices.DeleteFunc(f.watches, func(w *pendingWatch) bool {
		if !which(w) {
			return false
		}
		ending = append(ending, w)
		return true
	})
	for _, watch := range ending {
		end(watch)
	}
}

// revisionOf returns a hash of members and owners, which is never 0: that is a watcher's revision when it knows none.
func revisionOf(members []protocol.Member, owners map[protocol.ShardID]string) uint64 {
	hash := fnv.New64a()
	write := func(text string) {
		hash.Write([]byte(text))
		hash.Write([]byte{0})
	}
	for _, member := range members {
		hash.Write(binary.BigEndian.AppendUint64(nil, member.ID))
		write(member.Node)
		write(member.Zone)
		write(member.Address)
	}
	for _, shard := range slices.Sorted(maps.Keys(owners)) {
		hash.Write(binary.BigEndian.AppendUint32(nil, uint32(shard)))
		write(owners[shard])
	}
	return max(hash.Sum64(), 1)
}
