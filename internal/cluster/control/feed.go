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
	// earlyResponseFraction limits how early the response to a watch may be, as a fraction of its wait. Watches that are
	// nearly due are answered together with a due watch, so that one leadership confirmation serves many watches.
	earlyResponseFraction = 0.2
	// maxWatchWait limits the wait that a caller may request.
	maxWatchWait = 30 * time.Second
	// maxWatches limits the number of pending watches.
	maxWatches = 4096
)

// feedSource has the newest committed configuration.
type feedSource interface {
	// Version returns the version of the configuration, or 0 if there is none yet.
	Version() uint64
	// Since returns the data with which a follower gets from an older version to the newest: only the changes since that
	// version if canTakeChanges is set and they are known, else the complete configuration.
	Since(version uint64, canTakeChanges bool) ([]byte, error)
}

// Feed answers watches: the long polls of frontends and agents that follow the configuration and the owners of the shards.
// Only the owner of the configuration's shard answers them; other processes reject them with the owner's address. Feed has
// no clock, goroutines or I/O, and is used by one goroutine.
//
// A watch is answered when the feed has newer data than its request names, when its wait is over, or when its wait is
// nearly over and another watch is answered. Before any response, a quorum must have confirmed the leadership, and this
// confirmation must have been requested after the watch was received. Otherwise a process that has lost its leadership
// without noticing could respond that there is no newer data. One confirmation serves all watches that were received before
// it was requested.
//
// The caller calls BeginConfirmation after each input, and at the latest at Deadline. When it returns true, the caller must
// request a confirmation from a quorum, and then call Confirmed or Unconfirmed.
type Feed struct {
	source     feedSource
	isLeader   bool
	leaderHint string // while not leader: internal address of the owner, or "" if it is unknown
	watches    []*pendingWatch
	revision   uint64 // identifies members and owners; see revisionOf
	members    []protocol.Member
	owners     map[protocol.ShardID]string
	relays     relayTable
	compressor compressor

	confirmationsRequested  uint64        // number of confirmations requested so far
	isConfirming            bool          // the newest confirmation is in progress
	confirmationRequestedAt time.Duration // when the newest confirmation was requested
}

// pendingWatch is a watch without a response yet.
type pendingWatch struct {
	request             *protocol.WatchRequest
	reply               func(*protocol.WatchResponse, error)
	deadline            time.Duration // the end of its wait: a confirmation is requested then even without newer data
	earliestResponse    time.Duration // from then on, this watch is answered together with other watches
	receivedAt          time.Duration // the loop's time when it was received
	arrivedBy           time.Duration // the first later time of the loop, or unknownTime; see recordArrivals
	confirmationsBefore uint64        // Feed.confirmationsRequested when it was received
}

// unknownTime is the value of pendingWatch.arrivedBy before it is known.
const unknownTime time.Duration = -1

// NewFeed returns a feed that is not the leader's.
func NewFeed(source feedSource) *Feed { return &Feed{source: source, relays: newRelayTable()} }

// BecomeLeader is called when this process has become the owner of the configuration's shard. A confirmation in progress
// belongs to an earlier leadership and is ignored.
func (f *Feed) BecomeLeader() {
	f.isLeader = true
	f.isConfirming = false
}

// BecomeFollower ends the ownership and rejects all pending watches. leader is the internal address of the new owner, or ""
// if it is unknown.
func (f *Feed) BecomeFollower(leader string) {
	f.isLeader = false
	f.leaderHint = leader
	f.isConfirming = false
	f.rejectWatches(func(*pendingWatch) bool { return true })
}

// Watch adds a watch that was received at now. reply is called once, by Watch or by a later call of another method.
func (f *Feed) Watch(now time.Duration, request *protocol.WatchRequest, reply func(*protocol.WatchResponse, error)) {
	if !f.isLeader {
		reply(nil, notConfigurationOwner(f.leaderHint))
		return
	}
	if len(f.watches) >= maxWatches {
		reply(nil, failure.New(failure.Overloaded, "the limit of pending watches is reached"))
		return
	}
	f.relays.record(now, request)
	wait := min(max(time.Duration(request.WaitMs)*time.Millisecond, 0), maxWatchWait)
	earliestAfter := wait - time.Duration(float64(wait)*earlyResponseFraction)
	f.watches = append(f.watches, &pendingWatch{
		request:             request,
		reply:               reply,
		deadline:            now + wait,
		earliestResponse:    now + earliestAfter,
		receivedAt:          now,
		arrivedBy:           unknownTime,
		confirmationsBefore: f.confirmationsRequested,
	})
}

// SetOwners sets the members of the configuration's group and the owners of the shards. Their revision is a hash, so that
// successive owners of the configuration that know the same members and owners give them the same revision.
func (f *Feed) SetOwners(members []protocol.Member, owners map[protocol.ShardID]string) {
	f.members = slices.Clone(members)
	slices.SortFunc(f.members, func(a, b protocol.Member) int { return cmp.Compare(a.ID, b.ID) })
	f.owners = maps.Clone(owners)
	f.revision = revisionOf(f.members, f.owners)
}

// BeginConfirmation reports whether a watch needs a leadership confirmation now. If so, the caller must request one from a
// quorum and report the result by Confirmed or Unconfirmed.
func (f *Feed) BeginConfirmation(now time.Duration) bool {
	f.recordArrivals(now)
	if !f.isLeader || f.isConfirming || !slices.ContainsFunc(f.watches, func(w *pendingWatch) bool { return f.mustRespond(now, w) }) {
		return false
	}
	f.isConfirming = true
	f.confirmationRequestedAt = now
	f.confirmationsRequested++
	return true
}

// recordArrivals sets arrivedBy of new watches: a time that is not before their arrival. The loop's time stays the same
// during a step, so a watch may have arrived after receivedAt by the real clock. The first later time of the loop is
// certainly not before its arrival.
func (f *Feed) recordArrivals(now time.Duration) {
	for _, watch := range f.watches {
		if watch.arrivedBy == unknownTime && now > watch.receivedAt {
			watch.arrivedBy = now
		}
	}
}

// Confirmed is called when a quorum has confirmed the leadership. It answers the watches that were received before the
// confirmation was requested, if there is something new for them or their wait is nearly over.
func (f *Feed) Confirmed(now time.Duration) {
	if !f.isLeader || !f.isConfirming {
		return
	}
	f.isConfirming = false
	f.finish(func(w *pendingWatch) bool {
		return w.confirmationsBefore < f.confirmationsRequested && f.mayRespond(now, w)
	}, f.respond)
}

// Unconfirmed is called when a confirmation has failed. It rejects the watches that were received before the confirmation
// was requested. leader is the internal address of the owner, or "" if it is unknown.
func (f *Feed) Unconfirmed(leader string) {
	if !f.isConfirming {
		return
	}
	f.isConfirming = false
	f.leaderHint = leader
	f.rejectWatches(func(w *pendingWatch) bool { return w.confirmationsBefore < f.confirmationsRequested })
}

// Deadline returns the time at which BeginConfirmation must be called at the latest: 0, which means at once, if there is
// something new for a watch, else the first deadline of a watch. It returns false while a confirmation is in progress or if
// no watch is pending.
func (f *Feed) Deadline() (time.Duration, bool) {
	if len(f.watches) == 0 || f.isConfirming {
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

// mustRespond reports whether a watch is due: a confirmation must be requested for it.
func (f *Feed) mustRespond(now time.Duration, w *pendingWatch) bool {
	return now >= w.deadline || f.hasUpdate(w)
}

// mayRespond reports whether a watch is due or nearly due: it is answered by a confirmation that was requested for another
// watch.
func (f *Feed) mayRespond(now time.Duration, w *pendingWatch) bool {
	return now >= w.earliestResponse || f.hasUpdate(w)
}

// hasUpdate reports whether the feed has a newer configuration, or other members and owners, than a watch's request names.
func (f *Feed) hasUpdate(w *pendingWatch) bool {
	newer := !w.request.OwnersOnly && f.source.Version() > w.request.Version
	return newer || f.revision != w.request.Owners
}

// respond answers a watch with the parts that are new for it.
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

// compress compresses the configuration of a response if it is large.
func (f *Feed) compress(response *protocol.WatchResponse) {
	if packed, ok := f.compressor.compress(response.Configuration); ok {
		response.Configuration, response.Compressed = packed, true
	}
}

// pendingMs returns a lower bound, in ms, of a watch's pending time before the newest confirmation was requested. The
// response was current at the time of that request. So the watcher can compute an upper bound of the response's age: the
// time since the watcher sent its own request, minus pendingMs.
func (f *Feed) pendingMs(w *pendingWatch) int64 {
	if w.arrivedBy == unknownTime {
		return 0
	}
	return max(f.confirmationRequestedAt-w.arrivedBy, 0).Milliseconds()
}

// rejectWatches rejects the selected watches with an error that has the owner's address, if it is known.
func (f *Feed) rejectWatches(isSelected func(w *pendingWatch) bool) {
	f.finish(isSelected, func(w *pendingWatch) { w.reply(nil, notConfigurationOwner(f.leaderHint)) })
}

// finish removes the selected watches, and then calls end for each removed watch.
func (f *Feed) finish(isSelected func(w *pendingWatch) bool, end func(w *pendingWatch)) {
	var ending []*pendingWatch
	f.watches = slices.DeleteFunc(f.watches, func(w *pendingWatch) bool {
		if !isSelected(w) {
			return false
		}
		ending = append(ending, w)
		return true
	})
	for _, watch := range ending {
		end(watch)
	}
}

// revisionOf returns a hash of members and owners. It is never 0, because a watcher that knows no members and owners has
// revision 0.
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
