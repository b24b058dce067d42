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

// fakeSource is a configuration of nothing but a version.
type fakeSource struct {
	version uint64
	err     error
	text    string // in place of the usual one
	shared  []byte // as the state shares what many are fed
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

// answered is the answer to one watch, if there was one.
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

const at = time.Millisecond // the tests' times are multiples of it

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
		feed.OwnersChanged(members, owners)
		revision = feed.revision
	})

	watch := func(now time.Duration, version, owners uint64, waitMs int64) *answered {
		result := &answered{}
		request := &protocol.WatchRequest{Version: version, Owners: owners, WaitMs: waitMs}
		feed.Watch(now, request, result.reply)
		return result
	}
	current := func(now time.Duration) *answered { return watch(now, 5, revision, 1000) }

	It("answers a newcomer with all there is, once leadership is confirmed", func() {
		newcomer := watch(0, 0, 0, 1000)
		Expect(newcomer.count).To(BeZero())
		Expect(feed.AskConfirmation(0)).To(BeTrue())
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

	It("lets the caller take changes", func() {
		result := &answered{}
		feed.Watch(0, &protocol.WatchRequest{Version: 4, Owners: revision, WaitMs: 1000, Changes: true}, result.reply)
		feed.AskConfirmation(0)
		feed.Confirmed(0)
		Expect(string(result.response.Configuration)).To(Equal("4 to 5, changes true"))
		Expect(result.response.Owners).To(BeNil())
		Expect(result.response.Members).To(BeNil())
	})

	It("compresses what is large once for all that can take it", func() {
		source.text = strings.Repeat("route ", 100_000)
		var answers []*answered
		for range 3 {
			result := &answered{}
			feed.Watch(0, &protocol.WatchRequest{Compressed: true}, result.reply)
			answers = append(answers, result)
		}
		plain := watch(0, 0, 0, 0)
		feed.AskConfirmation(0)
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
		feed.AskConfirmation(0)
		feed.Confirmed(0)
		unpacked, err := io.ReadAll(flate.NewReader(bytes.NewReader(newer.response.Configuration)))
		Expect(err).NotTo(HaveOccurred())
		Expect(string(unpacked)).To(Equal(source.text))
	})

	It("leaves what is small as it is", func() {
		result := &answered{}
		feed.Watch(0, &protocol.WatchRequest{Compressed: true}, result.reply)
		feed.AskConfirmation(0)
		feed.Confirmed(0)
		Expect(result.response.Compressed).To(BeFalse())
		Expect(string(result.response.Configuration)).To(Equal("0 to 5, changes false"))
	})

	It("holds a watch without news until its wait is over", func() {
		waiting := current(0)
		Expect(feed.AskConfirmation(0)).To(BeFalse())
		deadline, ok := feed.Deadline()
		Expect(ok).To(BeTrue())
		Expect(deadline).To(Equal(1000 * at))
		Expect(feed.AskConfirmation(999 * at)).To(BeFalse())
		Expect(feed.AskConfirmation(1000 * at)).To(BeTrue())
		feed.Confirmed(1003 * at)
		Expect(waiting.response.Version).To(Equal(uint64(5)))
		Expect(waiting.response.Configuration).To(BeEmpty())
		Expect(waiting.response.Members).To(BeNil())
		_, ok = feed.Deadline()
		Expect(ok).To(BeFalse())
	})

	It("asks at once when a version comes", func() {
		waiting := current(0)
		source.version = 6
		deadline, ok := feed.Deadline()
		Expect(ok).To(BeTrue())
		Expect(deadline).To(BeZero())
		Expect(feed.AskConfirmation(10 * at)).To(BeTrue())
		feed.Confirmed(13 * at)
		Expect(string(waiting.response.Configuration)).To(Equal("5 to 6, changes false"))
	})

	It("asks at once when owners or members change", func() {
		waiting := current(0)
		feed.OwnersChanged(members, map[protocol.ShardID]string{0: "10.0.0.1:7380", 3: "10.0.0.1:7380"})
		Expect(feed.AskConfirmation(10 * at)).To(BeTrue())
		feed.Confirmed(13 * at)
		Expect(waiting.response.OwnersAt).NotTo(Equal(revision))
		Expect(waiting.response.Owners).To(HaveKeyWithValue(protocol.ShardID(3), "10.0.0.1:7380"))
		Expect(waiting.response.Configuration).To(BeEmpty())
	})

	It("gives the same owners the same revision, whoever tells them", func() {
		other := NewFeed(source)
		other.OwnersChanged([]protocol.Member{members[1], members[0]}, owners)
		Expect(other.revision).To(Equal(revision))
		Expect(NewFeed(source).revision).To(BeZero())
	})

	It("tells how long after the watch's coming the confirmation was asked for, as far as that is certain", func() {
		waiting := current(100 * at)
		Expect(feed.AskConfirmation(100 * at)).To(BeFalse())
		Expect(feed.AskConfirmation(105 * at)).To(BeFalse()) // by now it had certainly come
		Expect(feed.AskConfirmation(1100 * at)).To(BeTrue())
		feed.Confirmed(1130 * at)
		Expect(waiting.response.HeldMs).To(Equal(int64(995)))
	})

	It("tells of no time held where the watch came in the turn that asked", func() {
		newcomer := watch(100*at, 0, 0, 1000)
		feed.AskConfirmation(100 * at)
		feed.AskConfirmation(105 * at)
		feed.Confirmed(110 * at)
		Expect(newcomer.response.HeldMs).To(BeZero())
	})

	It("tells those who watch owners only of no configuration", func() {
		result := &answered{}
		feed.Watch(0, &protocol.WatchRequest{Version: 4, Owners: revision, WaitMs: 1000, OwnersOnly: true}, result.reply)
		Expect(feed.AskConfirmation(0)).To(BeFalse())
		feed.OwnersChanged(members, map[protocol.ShardID]string{3: "10.0.0.1:7380"})
		Expect(feed.AskConfirmation(10 * at)).To(BeTrue())
		feed.Confirmed(13 * at)
		Expect(result.response.Configuration).To(BeNil())
		Expect(result.response.Owners).To(HaveKey(protocol.ShardID(3)))
	})

	It("serves all that wait with one round", func() {
		first, second, third := current(0), current(150*at), current(300*at)
		Expect(feed.AskConfirmation(1000 * at)).To(BeTrue())
		Expect(feed.AskConfirmation(1001 * at)).To(BeFalse())
		feed.Confirmed(1003 * at)
		Expect(first.count).To(Equal(1))
		Expect(second.count).To(Equal(1), "its wait is nearly over")
		Expect(third.count).To(BeZero(), "its wait is not")
		Expect(feed.AskConfirmation(1004 * at)).To(BeFalse())
	})

	It("never answers by a round asked for before the watch came", func() {
		first := watch(0, 0, 0, 1000)
		Expect(feed.AskConfirmation(0)).To(BeTrue())
		late := watch(1*at, 0, 0, 1000)
		feed.Confirmed(3 * at)
		Expect(first.count).To(Equal(1))
		Expect(late.count).To(BeZero())
		Expect(feed.AskConfirmation(3 * at)).To(BeTrue())
		feed.Confirmed(6 * at)
		Expect(late.count).To(Equal(1))
	})

	It("answers a watch that ripens while the round is out", func() {
		newcomer, waiting := watch(0, 0, 0, 1000), current(0)
		Expect(feed.AskConfirmation(0)).To(BeTrue())
		_, ok := feed.Deadline()
		Expect(ok).To(BeFalse())
		source.version = 6
		feed.Confirmed(3 * at)
		Expect(newcomer.response.Version).To(Equal(uint64(6)))
		Expect(waiting.response.Version).To(Equal(uint64(6)))
	})

	DescribeTable("sends a watcher elsewhere",
		func(end func(), leader string) {
			waiting := watch(0, 0, 0, 1000)
			feed.AskConfirmation(0)
			late := watch(1*at, 5, revision, 1000)
			end()
			Expect(failure.KindOf(waiting.err)).To(Equal(failure.NotLeader))
			Expect(failure.LeaderOf(waiting.err)).To(Equal(leader))
			feed.Confirmed(2 * at)
			Expect(waiting.count).To(Equal(1))
			feed.Lost("")
			Expect(late.count).To(Equal(1))
			Expect(failure.KindOf(late.err)).To(Equal(failure.NotLeader))
		},
		Entry("leadership lost", func() { feed.Lost("10.0.0.2:7380") }, "10.0.0.2:7380"),
		Entry("leadership lost, to nobody known", func() { feed.Lost("") }, ""),
		Entry("not confirmed", func() { feed.Unconfirmed("10.0.0.2:7380") }, "10.0.0.2:7380"),
	)

	It("keeps watches that came after the round that failed", func() {
		feed.Watch(0, &protocol.WatchRequest{}, (&answered{}).reply)
		feed.AskConfirmation(0)
		late := watch(1*at, 0, 0, 1000)
		feed.Unconfirmed("")
		Expect(late.count).To(BeZero())
		Expect(feed.AskConfirmation(2 * at)).To(BeTrue())
	})

	It("refuses at once while it does not lead", func() {
		feed.Lost("10.0.0.2:7380")
		refused := watch(0, 0, 0, 1000)
		Expect(failure.KindOf(refused.err)).To(Equal(failure.NotLeader))
		Expect(failure.LeaderOf(refused.err)).To(Equal("10.0.0.2:7380"))
		feed.Confirmed(0)
		feed.Unconfirmed("")
		Expect(refused.count).To(Equal(1))
		feed.BecomeLeader()
		Expect(watch(0, 0, 0, 1000).count).To(BeZero())
	})

	It("takes no confirmation of an earlier leadership", func() {
		feed.Watch(0, &protocol.WatchRequest{}, (&answered{}).reply)
		feed.AskConfirmation(0)
		feed.Lost("")
		feed.BecomeLeader()
		again := watch(1*at, 0, 0, 1000)
		feed.Confirmed(2 * at)
		Expect(again.count).To(BeZero())
	})

	It("bounds waits and watches", func() {
		watch(0, 5, revision, 1<<40)
		deadline, _ := feed.Deadline()
		Expect(deadline).To(Equal(feedWaitMost))
		watch(0, 5, revision, -1)
		deadline, _ = feed.Deadline()
		Expect(deadline).To(BeZero())
		for len(feed.watches) < feedWatches {
			current(0)
		}
		refused := current(0)
		Expect(failure.KindOf(refused.err)).To(Equal(failure.Overloaded))
	})

	It("says so where the configuration cannot be encoded", func() {
		source.err = fmt.Errorf("no")
		failing := watch(0, 0, 0, 0)
		feed.AskConfirmation(0)
		feed.Confirmed(0)
		Expect(failure.KindOf(failing.err)).To(Equal(failure.Unavailable))
	})

	Describe("naming relays", func() {
		hear := func(now time.Duration, node, zone string) *protocol.WatchRequest {
			request := &protocol.WatchRequest{Version: 5, Owners: revision, WaitMs: 1000, Node: node, Zone: zone, Relay: node + ":1"}
			feed.Watch(now, request, func(*protocol.WatchResponse, error) {})
			return request
		}
		namedTo := func(node, zone string) []string {
			var named []string
			request := &protocol.WatchRequest{Version: 0, Node: node, Zone: zone, Relay: node + ":1"}
			feed.Watch(time.Second, request, func(response *protocol.WatchResponse, err error) {
				Expect(err).NotTo(HaveOccurred())
				for _, relay := range response.Relays {
					named = append(named, relay.Address)
				}
			})
			feed.AskConfirmation(time.Second)
			feed.Confirmed(time.Second)
			return named
		}

		It("names some of the caller's zone first, then some of others, and never the caller", func() {
			for _, node := range []string{"a1", "a2", "a3"} {
				hear(0, node, "a")
			}
			for _, node := range []string{"b1", "b2", "b3"} {
				hear(0, node, "b")
			}
			named := namedTo("a1", "a")
			Expect(named).To(HaveLen(4))
			Expect(named[:2]).To(ConsistOf("a2:1", "a3:1"))
			Expect(named[2:]).To(HaveEach(HavePrefix("b")))
		})

		It("names none that has not been heard for long", func() {
			hear(-20*time.Second, "a1", "a")
			Expect(namedTo("a2", "a")).To(BeEmpty())
		})
	})
})
