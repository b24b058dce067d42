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

// fakeSource is a feedSource whose configuration is little more than a version.
type fakeSource struct {
	version uint64
	err     error
	text    string // if set, what Since returns
	shared  []byte // text as bytes, shared by all results as those of configuration.State are
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

// answered records the response to one watch, and how often there was one.
type answered struct {
	response *protocol.WatchResponse
	err      error
	count    int
}

func (a *answered) reply(response *protocol.WatchResponse, err error) {
	a.response = response
	a.err = err
	a.count++
}

const at = time.Millisecond // unit of the tests' times

var _ = Describe("the feed", func() {
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

	watch := func(now time.Duration, version, owners uint64, waitMs int64) *answered {
		result := &answered{}
		request := &protocol.WatchRequest{Version: version, Owners: owners, WaitMs: waitMs}
		feed.Watch(now, request, result.reply)
		return result
	}
	current := func(now time.Duration) *answered { return watch(now, 5, revision, 1000) }

	It("answers a new watcher with everything, once leadership is confirmed", func() {
		newcomer := watch(0, 0, 0, 1000)
		Expect(newcomer.count).To(BeZero())
		Expect(feed.BeginConfirmation(0)).To(BeTrue())
		Expect(newcomer.count).To(BeZero())
		feed.Confirmed(3 * at)
		Expect(newcomer.count).To(Equal(1))
		Expect(newcomer.err).NotTo(HaveOccurred())
		Expect(newcomer.response.Version).To(Equal(uint64(5)))
		Expect(string(newcomer.response.Configuration)).To(Equal("0 to 5, changes false"))
		Expect(newcomer.response.OwnersAt).To(Equal(revision))
		Expect(newcomer.response.Members).To(ConsistOf(members))
		Expect(newcomer.response.Owners).To(Equal(owners))
	})

	It("sends changes alone to a watcher that can take them", func() {
		result := &answered{}
		feed.Watch(0, &protocol.WatchRequest{Version: 4, Owners: revision, WaitMs: 1000, Changes: true}, result.reply)
		feed.BeginConfirmation(0)
		feed.Confirmed(0)
		Expect(string(result.response.Configuration)).To(Equal("4 to 5, changes true"))
		Expect(result.response.Owners).To(BeNil())
		Expect(result.response.Members).To(BeNil())
	})

	It("compresses a large configuration once for all watchers that can take that", func() {
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

	It("answers a watch for which nothing is new when its wait is over", func() {
		pending := current(0)
		Expect(feed.BeginConfirmation(0)).To(BeFalse())
		deadline, ok := feed.Deadline()
		Expect(ok).To(BeTrue())
		Expect(deadline).To(Equal(1000 * at))
		Expect(feed.BeginConfirmation(999 * at)).To(BeFalse())
		Expect(feed.BeginConfirmation(1000 * at)).To(BeTrue())
		feed.Confirmed(1003 * at)
		Expect(pending.response.Version).To(Equal(uint64(5)))
		Expect(pending.response.Configuration).To(BeEmpty())
		Expect(pending.response.Members).To(BeNil())
		_, ok = feed.Deadline()
		Expect(ok).To(BeFalse())
	})

	It("needs a confirmation at once when there is a new version", func() {
		pending := current(0)
		source.version = 6
		deadline, ok := feed.Deadline()
		Expect(ok).To(BeTrue())
		Expect(deadline).To(BeZero())
		Expect(feed.BeginConfirmation(10 * at)).To(BeTrue())
		feed.Confirmed(13 * at)
		Expect(string(pending.response.Configuration)).To(Equal("5 to 6, changes false"))
	})

	It("needs a confirmation at once when owners or members change", func() {
		pending := current(0)
		feed.SetOwners(members, map[protocol.ShardID]string{0: "10.0.0.1:7380", 3: "10.0.0.1:7380"})
		Expect(feed.BeginConfirmation(10 * at)).To(BeTrue())
		feed.Confirmed(13 * at)
		Expect(pending.response.OwnersAt).NotTo(Equal(revision))
		Expect(pending.response.Owners).To(HaveKeyWithValue(protocol.ShardID(3), "10.0.0.1:7380"))
		Expect(pending.response.Configuration).To(BeEmpty())
	})

	It("gives the same owners the same revision in every process", func() {
		other := NewFeed(source)
		other.SetOwners([]protocol.Member{members[1], members[0]}, owners)
		Expect(other.revision).To(Equal(revision))
		Expect(NewFeed(source).revision).To(BeZero())
	})

	It("reports for how long a watch was certainly pending when the confirmation was requested", func() {
		pending := current(100 * at)
		Expect(feed.BeginConfirmation(100 * at)).To(BeFalse())
		Expect(feed.BeginConfirmation(105 * at)).To(BeFalse()) // it had certainly arrived by then
		Expect(feed.BeginConfirmation(1100 * at)).To(BeTrue())
		feed.Confirmed(1130 * at)
		Expect(pending.response.HeldMs).To(Equal(int64(995)))
	})

	It("reports no pending time for a watch received in the step that requested the confirmation", func() {
		newcomer := watch(100*at, 0, 0, 1000)
		feed.BeginConfirmation(100 * at)
		feed.BeginConfirmation(105 * at)
		feed.Confirmed(110 * at)
		Expect(newcomer.response.HeldMs).To(BeZero())
	})

	It("sends no configuration to those that watch owners only", func() {
		result := &answered{}
		feed.Watch(0, &protocol.WatchRequest{Version: 4, Owners: revision, WaitMs: 1000, OwnersOnly: true}, result.reply)
		Expect(feed.BeginConfirmation(0)).To(BeFalse())
		feed.SetOwners(members, map[protocol.ShardID]string{3: "10.0.0.1:7380"})
		Expect(feed.BeginConfirmation(10 * at)).To(BeTrue())
		feed.Confirmed(13 * at)
		Expect(result.response.Configuration).To(BeNil())
		Expect(result.response.Owners).To(HaveKey(protocol.ShardID(3)))
	})

	It("serves all pending watches with one confirmation", func() {
		first, second, third := current(0), current(150*at), current(300*at)
		Expect(feed.BeginConfirmation(1000 * at)).To(BeTrue())
		Expect(feed.BeginConfirmation(1001 * at)).To(BeFalse())
		feed.Confirmed(1003 * at)
		Expect(first.count).To(Equal(1))
		Expect(second.count).To(Equal(1), "its wait is nearly over")
		Expect(third.count).To(BeZero(), "its wait is not")
		Expect(feed.BeginConfirmation(1004 * at)).To(BeFalse())
	})

	It("never answers by a confirmation requested before the watch came", func() {
		first := watch(0, 0, 0, 1000)
		Expect(feed.BeginConfirmation(0)).To(BeTrue())
		late := watch(1*at, 0, 0, 1000)
		feed.Confirmed(3 * at)
		Expect(first.count).To(Equal(1))
		Expect(late.count).To(BeZero())
		Expect(feed.BeginConfirmation(3 * at)).To(BeTrue())
		feed.Confirmed(6 * at)
		Expect(late.count).To(Equal(1))
	})

	It("answers a watch that becomes due during the confirmation", func() {
		newcomer, pending := watch(0, 0, 0, 1000), current(0)
		Expect(feed.BeginConfirmation(0)).To(BeTrue())
		_, ok := feed.Deadline()
		Expect(ok).To(BeFalse())
		source.version = 6
		feed.Confirmed(3 * at)
		Expect(newcomer.response.Version).To(Equal(uint64(6)))
		Expect(pending.response.Version).To(Equal(uint64(6)))
	})

	DescribeTable("sends watchers to another process",
		func(end func(), leader string) {
			pending := watch(0, 0, 0, 1000)
			feed.BeginConfirmation(0)
			late := watch(1*at, 5, revision, 1000)
			end()
			Expect(failure.KindOf(pending.err)).To(Equal(failure.NotLeader))
			Expect(failure.LeaderOf(pending.err)).To(Equal(leader))
			feed.Confirmed(2 * at)
			Expect(pending.count).To(Equal(1))
			feed.BecomeFollower("")
			Expect(late.count).To(Equal(1))
			Expect(failure.KindOf(late.err)).To(Equal(failure.NotLeader))
		},
		Entry("leadership lost", func() { feed.BecomeFollower("10.0.0.2:7380") }, "10.0.0.2:7380"),
		Entry("leadership lost, the new leader unknown", func() { feed.BecomeFollower("") }, ""),
		Entry("not confirmed", func() { feed.Unconfirmed("10.0.0.2:7380") }, "10.0.0.2:7380"),
	)

	It("keeps watches that came after the request of the confirmation that failed", func() {
		feed.Watch(0, &protocol.WatchRequest{}, (&answered{}).reply)
		feed.BeginConfirmation(0)
		late := watch(1*at, 0, 0, 1000)
		feed.Unconfirmed("")
		Expect(late.count).To(BeZero())
		Expect(feed.BeginConfirmation(2 * at)).To(BeTrue())
	})

	It("rejects at once while it is not the leader", func() {
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

	It("ignores the confirmation of an earlier leadership", func() {
		feed.Watch(0, &protocol.WatchRequest{}, (&answered{}).reply)
		feed.BeginConfirmation(0)
		feed.BecomeFollower("")
		feed.BecomeLeader()
		second := watch(1*at, 0, 0, 1000)
		feed.Confirmed(2 * at)
		Expect(second.count).To(BeZero())
	})

	It("bounds waits and the number of watches", func() {
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

	Describe("offering relays", func() {
		watchAsRelay := func(now time.Duration, node, zone string) *protocol.WatchRequest {
			request := &protocol.WatchRequest{Version: 5, Owners: revision, WaitMs: 1000, Node: node, Zone: zone, Relay: node + ":1"}
			feed.Watch(now, request, func(*protocol.WatchResponse, error) {})
			return request
		}
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

		It("offers some of the caller's zone first, then some of others, and never the caller", func() {
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

		It("offers none whose last contact was long ago", func() {
			watchAsRelay(-20*time.Second, "a1", "a")
			Expect(offeredTo("a2", "a")).To(BeEmpty())
		})
	})
})
