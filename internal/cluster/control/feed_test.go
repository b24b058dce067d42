package control

import (
	"bytes"
	"compress/flate"
	"fmt"
	"io"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"ospreypond/internal/cluster/failure"
	"ospreypond/internal/cluster/protocol"
)

// fakeSource is a feedSource. Its configuration is a text that describes the arguments of Since, or the field text.
type fakeSource struct {
	version uint64
	err     error  // error of Since
	text    string // if set, Since returns it
	shared  []byte // text as bytes; as with configuration.State, all results of Since share the same memory
}

func (s *fakeSource) Version() uint64 { return s.version }

func (s *fakeSource) Since(version uint64, canTakeChanges bool) ([]byte, error) {
	if s.text != "" {
		if string(s.shared) != s.text {
			s.shared = []byte(s.text)
		}
		return s.shared, s.err
	}
	return fmt.Appendf(nil, "%d to %d, changes %t", version, s.version, canTakeChanges), s.err
}

// answered records the reply to one watch.
type answered struct {
	response *protocol.WatchResponse
	err      error
	count    int // number of calls of reply
}

func (a *answered) reply(response *protocol.WatchResponse, err error) {
	a.response = response
	a.err = err
	a.count++
}

const ms = time.Millisecond

var _ = Describe("The feed", func() {
	var (
		source   *fakeSource
		feed     *Feed
		revision uint64
	)
	members := []protocol.Member{{ID: 2, Node: "n-2", Address: "10.0.0.2:7380"}, {ID: 1, Node: "n-1", Address: "10.0.0.1:7380"}}
	owners := map[protocol.ShardID]string{0: "10.0.0.1:7380", 3: "10.0.0.2:7380"}

	BeforeEach(func() {
		source = &fakeSource{version: 5}
		feed = NewFeed(source)
		feed.BecomeLeader()
		feed.SetOwners(members, owners)
		revision = feed.revision
	})

	// watch adds the watch of a caller that has this version and this revision of the owners.
	watch := func(now time.Duration, version, owners uint64, waitMs int64) *answered {
		result := &answered{}
		request := &protocol.WatchRequest{Version: version, Owners: owners, WaitMs: waitMs}
		feed.Watch(now, request, result.reply)
		return result
	}
	// current adds the watch of a caller that has everything, with a wait of 1 s.
	current := func(now time.Duration) *answered { return watch(now, 5, revision, 1000) }

	It("answers a caller that has nothing with everything, after the leadership was confirmed", func() {
		newcomer := watch(0, 0, 0, 1000)
		Expect(newcomer.count).To(BeZero())
		Expect(feed.BeginConfirmation(0)).To(BeTrue())
		Expect(newcomer.count).To(BeZero())
		feed.Confirmed(3 * ms)
		Expect(newcomer.count).To(Equal(1))
		Expect(newcomer.err).NotTo(HaveOccurred())
		Expect(newcomer.response.Version).To(Equal(uint64(5)))
		Expect(string(newcomer.response.Configuration)).To(Equal("0 to 5, changes false"))
		Expect(newcomer.response.OwnersAt).To(Equal(revision))
		Expect(newcomer.response.Members).To(ConsistOf(members))
		Expect(newcomer.response.Owners).To(Equal(owners))
	})

	It("sends only the changes to a caller that accepts changes", func() {
		result := &answered{}
		feed.Watch(0, &protocol.WatchRequest{Version: 4, Owners: revision, WaitMs: 1000, Changes: true}, result.reply)
		feed.BeginConfirmation(0)
		feed.Confirmed(0)
		Expect(string(result.response.Configuration)).To(Equal("4 to 5, changes true"))
		Expect(result.response.Owners).To(BeNil())
		Expect(result.response.Members).To(BeNil())
	})

	It("compresses a large configuration once for all callers that accept that", func() {
		source.text = strings.Repeat("route ", 100_000)
		var answers []*answered
		for range 3 {
			result := &answered{}
			feed.Watch(0, &protocol.WatchRequest{Compressed: true}, result.reply)
			answers = append(answers, result)
		}
		plain := watch(0, 0, 0, 0)
		feed.BeginConfirmation(0)
		feed.Confirmed(0)
		Expect(string(plain.response.Configuration)).To(Equal(source.text))
		Expect(plain.response.Compressed).To(BeFalse())
		for _, each := range answers {
			Expect(each.response.Compressed).To(BeTrue())
			Expect(&each.response.Configuration[0]).To(BeIdenticalTo(&answers[0].response.Configuration[0]))
			Expect(len(each.response.Configuration)).To(BeNumerically("<", len(source.text)/10))
			unpacked, err := io.ReadAll(flate.NewReader(bytes.NewReader(each.response.Configuration)))
			Expect(err).NotTo(HaveOccurred())
			Expect(string(unpacked)).To(Equal(source.text))
		}
		source.version, source.text = 6, strings.Repeat("other ", 100_000)
		newer := &answered{}
		feed.Watch(0, &protocol.WatchRequest{Compressed: true}, newer.reply)
		feed.BeginConfirmation(0)
		feed.Confirmed(0)
		unpacked, err := io.ReadAll(flate.NewReader(bytes.NewReader(newer.response.Configuration)))
		Expect(err).NotTo(HaveOccurred())
		Expect(string(unpacked)).To(Equal(source.text))
	})

	It("does not compress a small configuration", func() {
		result := &answered{}
		feed.Watch(0, &protocol.WatchRequest{Compressed: true}, result.reply)
		feed.BeginConfirmation(0)
		feed.Confirmed(0)
		Expect(result.response.Compressed).To(BeFalse())
		Expect(string(result.response.Configuration)).To(Equal("0 to 5, changes false"))
	})

	It("answers a watch without anything new when its wait is over", func() {
		pending := current(0)
		Expect(feed.BeginConfirmation(0)).To(BeFalse())
		deadline, ok := feed.Deadline()
		Expect(ok).To(BeTrue())
		Expect(deadline).To(Equal(1000 * ms))
		Expect(feed.BeginConfirmation(999 * ms)).To(BeFalse())
		Expect(feed.BeginConfirmation(1000 * ms)).To(BeTrue())
		feed.Confirmed(1003 * ms)
		Expect(pending.response.Version).To(Equal(uint64(5)))
		Expect(pending.response.Configuration).To(BeEmpty())
		Expect(pending.response.Members).To(BeNil())
		_, ok = feed.Deadline()
		Expect(ok).To(BeFalse())
	})

	It("needs a confirmation at once if there is a new version", func() {
		pending := current(0)
		source.version = 6
		deadline, ok := feed.Deadline()
		Expect(ok).To(BeTrue())
		Expect(deadline).To(BeZero())
		Expect(feed.BeginConfirmation(10 * ms)).To(BeTrue())
		feed.Confirmed(13 * ms)
		Expect(string(pending.response.Configuration)).To(Equal("5 to 6, changes false"))
	})

	It("needs a confirmation at once if owners or members have changed", func() {
		pending := current(0)
		feed.SetOwners(members, map[protocol.ShardID]string{0: "10.0.0.1:7380", 3: "10.0.0.1:7380"})
		Expect(feed.BeginConfirmation(10 * ms)).To(BeTrue())
		feed.Confirmed(13 * ms)
		Expect(pending.response.OwnersAt).NotTo(Equal(revision))
		Expect(pending.response.Owners).To(HaveKeyWithValue(protocol.ShardID(3), "10.0.0.1:7380"))
		Expect(pending.response.Configuration).To(BeEmpty())
	})

	It("has the same revision of the same members and owners in every process", func() {
		other := NewFeed(source)
		other.SetOwners([]protocol.Member{members[1], members[0]}, owners)
		Expect(other.revision).To(Equal(revision))
		Expect(NewFeed(source).revision).To(BeZero())
	})

	It("reports a lower bound of the time for which a watch was pending when the confirmation was requested", func() {
		pending := current(100 * ms)
		Expect(feed.BeginConfirmation(100 * ms)).To(BeFalse())
		Expect(feed.BeginConfirmation(105 * ms)).To(BeFalse()) // the watch has certainly arrived before this
		Expect(feed.BeginConfirmation(1100 * ms)).To(BeTrue())
		feed.Confirmed(1130 * ms)
		Expect(pending.response.HeldMs).To(Equal(int64(995)))
	})

	It("reports a pending time of 0 for a watch received in the same step as the request of the confirmation", func() {
		newcomer := watch(100*ms, 0, 0, 1000)
		feed.BeginConfirmation(100 * ms)
		feed.BeginConfirmation(105 * ms)
		feed.Confirmed(110 * ms)
		Expect(newcomer.response.HeldMs).To(BeZero())
	})

	It("sends no configuration to a caller that watches only the owners", func() {
		result := &answered{}
		feed.Watch(0, &protocol.WatchRequest{Version: 4, Owners: revision, WaitMs: 1000, OwnersOnly: true}, result.reply)
		Expect(feed.BeginConfirmation(0)).To(BeFalse())
		feed.SetOwners(members, map[protocol.ShardID]string{3: "10.0.0.1:7380"})
		Expect(feed.BeginConfirmation(10 * ms)).To(BeTrue())
		feed.Confirmed(13 * ms)
		Expect(result.response.Configuration).To(BeNil())
		Expect(result.response.Owners).To(HaveKey(protocol.ShardID(3)))
	})

	It("serves all pending watches with one confirmation", func() {
		first, second, third := current(0), current(150*ms), current(300*ms)
		Expect(feed.BeginConfirmation(1000 * ms)).To(BeTrue())
		Expect(feed.BeginConfirmation(1001 * ms)).To(BeFalse())
		feed.Confirmed(1003 * ms)
		Expect(first.count).To(Equal(1))
		Expect(second.count).To(Equal(1), "more than 80 % of its wait is over")
		Expect(third.count).To(BeZero(), "less than 80 % of its wait is over")
		Expect(feed.BeginConfirmation(1004 * ms)).To(BeFalse())
	})

	It("never answers a watch by a confirmation that was requested before the watch was received", func() {
		first := watch(0, 0, 0, 1000)
		Expect(feed.BeginConfirmation(0)).To(BeTrue())
		late := watch(1*ms, 0, 0, 1000)
		feed.Confirmed(3 * ms)
		Expect(first.count).To(Equal(1))
		Expect(late.count).To(BeZero())
		Expect(feed.BeginConfirmation(3 * ms)).To(BeTrue())
		feed.Confirmed(6 * ms)
		Expect(late.count).To(Equal(1))
	})

	It("answers a watch that becomes due during the confirmation", func() {
		newcomer, pending := watch(0, 0, 0, 1000), current(0)
		Expect(feed.BeginConfirmation(0)).To(BeTrue())
		_, ok := feed.Deadline()
		Expect(ok).To(BeFalse())
		source.version = 6
		feed.Confirmed(3 * ms)
		Expect(newcomer.response.Version).To(Equal(uint64(6)))
		Expect(pending.response.Version).To(Equal(uint64(6)))
	})

	DescribeTable("rejects watches with the address of the owner",
		func(end func(), leader string) {
			pending := watch(0, 0, 0, 1000)
			feed.BeginConfirmation(0)
			late := watch(1*ms, 5, revision, 1000)
			end()
			Expect(failure.KindOf(pending.err)).To(Equal(failure.NotLeader))
			Expect(failure.LeaderOf(pending.err)).To(Equal(leader))
			feed.Confirmed(2 * ms)
			Expect(pending.count).To(Equal(1))
			feed.BecomeFollower("")
			Expect(late.count).To(Equal(1))
			Expect(failure.KindOf(late.err)).To(Equal(failure.NotLeader))
		},
		Entry("when the leadership is lost", func() { feed.BecomeFollower("10.0.0.2:7380") }, "10.0.0.2:7380"),
		Entry("when the leadership is lost and the new owner is unknown, without an address", func() { feed.BecomeFollower("") }, ""),
		Entry("when the leadership is not confirmed", func() { feed.Unconfirmed("10.0.0.2:7380") }, "10.0.0.2:7380"),
	)

	It("keeps watches that were received after the request of a confirmation that failed", func() {
		feed.Watch(0, &protocol.WatchRequest{}, (&answered{}).reply)
		feed.BeginConfirmation(0)
		late := watch(1*ms, 0, 0, 1000)
		feed.Unconfirmed("")
		Expect(late.count).To(BeZero())
		Expect(feed.BeginConfirmation(2 * ms)).To(BeTrue())
	})

	It("rejects watches at once while it is not the leader's", func() {
		feed.BecomeFollower("10.0.0.2:7380")
		rejected := watch(0, 0, 0, 1000)
		Expect(failure.KindOf(rejected.err)).To(Equal(failure.NotLeader))
		Expect(failure.LeaderOf(rejected.err)).To(Equal("10.0.0.2:7380"))
		feed.Confirmed(0)
		feed.Unconfirmed("")
		Expect(rejected.count).To(Equal(1))
		feed.BecomeLeader()
		Expect(watch(0, 0, 0, 1000).count).To(BeZero())
	})

	It("ignores a confirmation that an earlier leadership requested", func() {
		feed.Watch(0, &protocol.WatchRequest{}, (&answered{}).reply)
		feed.BeginConfirmation(0)
		feed.BecomeFollower("")
		feed.BecomeLeader()
		second := watch(1*ms, 0, 0, 1000)
		feed.Confirmed(2 * ms)
		Expect(second.count).To(BeZero())
	})

	It("limits the wait of a watch and the number of pending watches", func() {
		watch(0, 5, revision, 1<<40)
		deadline, _ := feed.Deadline()
		Expect(deadline).To(Equal(maxWatchWait))
		watch(0, 5, revision, -1)
		deadline, _ = feed.Deadline()
		Expect(deadline).To(BeZero())
		for len(feed.watches) < maxWatches {
			current(0)
		}
		rejected := current(0)
		Expect(failure.KindOf(rejected.err)).To(Equal(failure.Overloaded))
	})

	It("rejects a watch if the configuration cannot be encoded", func() {
		source.err = fmt.Errorf("no")
		failing := watch(0, 0, 0, 0)
		feed.BeginConfirmation(0)
		feed.Confirmed(0)
		Expect(failure.KindOf(failing.err)).To(Equal(failure.Unavailable))
	})

	Describe("when it offers relays,", func() {
		// watchAsRelay adds the watch of a process that offers to be a relay.
		watchAsRelay := func(now time.Duration, node, zone string) *protocol.WatchRequest {
			request := &protocol.WatchRequest{Version: 5, Owners: revision, WaitMs: 1000, Node: node, Zone: zone, Relay: node + ":1"}
			feed.Watch(now, request, func(*protocol.WatchResponse, error) {})
			return request
		}
		// offeredTo returns the addresses of the relays that are offered to a caller, at time 1 s.
		offeredTo := func(node, zone string) []string {
			var offered []string
			request := &protocol.WatchRequest{Version: 0, Node: node, Zone: zone, Relay: node + ":1"}
			feed.Watch(time.Second, request, func(response *protocol.WatchResponse, err error) {
				Expect(err).NotTo(HaveOccurred())
				for _, relay := range response.Relays {
					offered = append(offered, relay.Address)
				}
			})
			feed.BeginConfirmation(time.Second)
			feed.Confirmed(time.Second)
			return offered
		}

		It("offers first two of the caller's zone, then two of other zones, and never the caller", func() {
			for _, node := range []string{"a1", "a2", "a3"} {
				watchAsRelay(0, node, "a")
			}
			for _, node := range []string{"b1", "b2", "b3"} {
				watchAsRelay(0, node, "b")
			}
			offered := offeredTo("a1", "a")
			Expect(offered).To(HaveLen(4))
			Expect(offered[:2]).To(ConsistOf("a2:1", "a3:1"))
			Expect(offered[2:]).To(HaveEach(HavePrefix("b")))
		})

		It("offers none whose last watch is older than relayTTL", func() {
			watchAsRelay(-20*time.Second, "a1", "a")
			Expect(offeredTo("a2", "a")).To(BeEmpty())
		})
	})
})
