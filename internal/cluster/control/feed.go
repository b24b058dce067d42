package control

import (
	"encoding/binary"
	"hash/fnv"
	"maps"
	"slices"
	"time"

	"ospreypond/internal/cluster/failure"
	"ospreypond/internal/cluster/protocol"
)

// Bounds of the feed.
const (
	// feedTogether is the share of a watch's wait by which it may be answered early, so that one confirmation serves many.
	feedTogether = 0.2
	// feedWaitMost bounds the wait that a caller may ask for.
	feedWaitMost = 30 * time.Second
	// feedWatches bounds the watches that wait at once.
	feedWatches = 4096
)

// feedSource has the newest configuration, of which every entry is committed.
type feedSource interface {
	// Version returns its version; 0: none yet.
	Version() uint64
	// Since returns what brings a follower there from an older version.
	Since(version uint64, canTakeChanges bool) ([]byte, error)
}

// Feed answers the watches of those who follow the configuration and the shards' owners. It is the owner's part, pure,
// and used by one goroutine. A watch is answered once there is news for it or its wait is nearly over, and only after
// the owner's leadership was confirmed by a round asked for after the watch came. One round serves all watches that
// wait for it.
type Feed struct {
	source   feedSource
	leading  bool
	leader   string // internal address of the owner as far as known, while not leading
	watches  []*feedWatch
	revision uint64
	members  []protocol.Member
	owners   map[protocol.ShardID]string
	relays   relayTable
	round    uint64        // counts the rounds asked for
	asked    bool          // a round is out
	askedAt  time.Duration // the asking of the newest round

	compressor compressor
}

// feedWatch is a watch that waits.
type feedWatch struct {
	request *protocol.WatchRequest
	reply   func(*protocol.WatchResponse, error)
	due     time.Duration // it is answered by then
	early   time.Duration // from then on it may be answered along with others
	taken   time.Duration // the loop's time when it was taken
	came    time.Duration // a later time of the loop; noTime: there was none yet
	round   uint64        // the last round asked for before it came
}

// noTime stands for a time that is not known.
const noTime time.Duration = -1

// NewFeed returns a feed of a process that does not lead.
func NewFeed(source feedSource) *Feed { return &Feed{source: source, relays: newRelayTable()} }

// BecomeLeader begins ownership of the configuration's shard.
func (f *Feed) BecomeLeader() {
	f.leading = true
	f.asked = false
}

// Lost ends ownership: all that wait are told so. leader is the new owner's internal address, or "".
func (f *Feed) Lost(leader string) {
	f.leading = false
	f.leader = leader
	f.asked = false
	f.refuse(func(*feedWatch) bool { return true })
}

// Watch takes a watch that came at now.
func (f *Feed) Watch(now time.Duration, request *protocol.WatchRequest, reply func(*protocol.WatchResponse, error)) {
	if !f.leading {
		reply(nil, f.notLeader())
		return
	}
	if len(f.watches) >= feedWatches {
		reply(nil, failure.New(failure.Overloaded, "too many watches wait"))
		return
	}
	f.relays.hear(now, request)
	wait := min(max(time.Duration(request.WaitMs)*time.Millisecond, 0), feedWaitMost)
	early := wait - time.Duration(float64(wait)*feedTogether)
	f.watches = append(f.watches, &feedWatch{
		request: request,
		reply:   reply,
		due:     now + wait,
		early:   now + early,
		taken:   now,
		came:    noTime,
		round:   f.round,
	})
}

// OwnersChanged takes the newest members and owners. Their revision is worked out from what they say, so that two
// owners that know the same give it the same number.
func (f *Feed) OwnersChanged(members []protocol.Member, owners map[protocol.ShardID]string) {
	f.members = slices.Clone(members)
	slices.SortFunc(f.members, func(a, b protocol.Member) int {
		switch {
		case a.ID < b.ID:
			return -1
		case a.ID > b.ID:
			return 1
		}
		return 0
	})
	f.owners = maps.Clone(owners)
	f.revision = revisionOf(f.members, f.owners)
}

// AskConfirmation reports whether a confirmation of leadership must be asked for now, and takes it that it is. Confirmed
// or Unconfirmed tells how it ended.
func (f *Feed) AskConfirmation(now time.Duration) bool {
	f.stamp(now)
	if !f.leading || f.asked || !slices.ContainsFunc(f.watches, func(w *feedWatch) bool { return f.ripe(now, w) }) {
		return false
	}
	f.asked = true
	f.askedAt = now
	f.round++
	return true
}

// stamp notes a time by which watches had certainly come, from which on they count as held: a later one of the loop than
// that at which they were taken.
func (f *Feed) stamp(now time.Duration) {
	for _, watch := range f.watches {
		if watch.came == noTime && now > watch.taken {
			watch.came = now
		}
	}
}

// Confirmed tells that the round asked for last was answered by a quorum. Watches that came before it and have
// something to be told, or have waited nearly long enough, are answered.
func (f *Feed) Confirmed(now time.Duration) {
	if !f.leading || !f.asked {
		return
	}
	f.asked = false
	f.settle(func(w *feedWatch) bool { return w.round < f.round && f.mayAnswer(now, w) }, f.answer)
}

// Unconfirmed tells that the round asked for last was not answered by a quorum. leader is the internal address of the
// owner as far as known, or "".
func (f *Feed) Unconfirmed(leader string) {
	if !f.asked {
		return
	}
	f.asked = false
	f.leader = leader
	f.refuse(func(w *feedWatch) bool { return w.round < f.round })
}

// Deadline returns when AskConfirmation must be tried again at the latest: at once where there is news for a watch, else
// when the first wait is over. While a round is out, and where nothing waits, there is no deadline.
func (f *Feed) Deadline() (time.Duration, bool) {
	if len(f.watches) == 0 || f.asked {
		return 0, false
	}
	deadline := f.watches[0].due
	for _, watch := range f.watches {
		if f.news(watch) {
			return 0, true
		}
		deadline = min(deadline, watch.due)
	}
	return deadline, true
}

// ripe says whether a watch must be answered.
func (f *Feed) ripe(now time.Duration, w *feedWatch) bool { return now >= w.due || f.news(w) }

// mayAnswer says whether a watch may be answered along with others.
func (f *Feed) mayAnswer(now time.Duration, w *feedWatch) bool { return now >= w.early || f.news(w) }

func (f *Feed) news(w *feedWatch) bool {
	newer := !w.request.OwnersOnly && f.source.Version() > w.request.Version
	return newer || f.revision != w.request.Owners
}

func (f *Feed) answer(w *feedWatch) {
	response := &protocol.WatchResponse{Version: f.source.Version(), OwnersAt: f.revision, HeldMs: f.held(w)}
	response.Relays = f.relays.pick(f.askedAt, w.request)
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

// compress makes a large configuration smaller.
func (f *Feed) compress(response *protocol.WatchResponse) {
	if packed, ok := f.compressor.pack(response.Configuration); ok {
		response.Configuration, response.Compressed = packed, true
	}
}

// held is the time in ms from a watch's coming to the asking of the newest round.
func (f *Feed) held(w *feedWatch) int64 {
	if w.came == noTime {
		return 0
	}
	return max(f.askedAt-w.came, 0).Milliseconds()
}

func (f *Feed) refuse(which func(w *feedWatch) bool) {
	f.settle(which, func(w *feedWatch) { w.reply(nil, f.notLeader()) })
}

// settle takes the watches that which selects out and ends each.
func (f *Feed) settle(which func(w *feedWatch) bool, end func(w *feedWatch)) {
	var ending []*feedWatch
	f.watches = slices.DeleteFunc(f.watches, func(w *feedWatch) bool {
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

func (f *Feed) notLeader() error {
	return &failure.Error{
		Kind:    failure.NotLeader,
		Message: "this process does not own the configuration",
		Leader:  f.leader,
	}
}

// revisionOf returns the same number for the same members and owners, and never 0.
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
