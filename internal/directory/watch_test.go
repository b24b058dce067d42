package directory

import (
	"context"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"ospreypond/internal/failure"
	"ospreypond/internal/protocol"
)

// change is one call of OnConfiguration.
type change struct {
	version  uint64
	document string
	before   uint64 // Version during the call
}

var _ = Describe("The watch", func() {
	var (
		s       *scripted
		d       *Directory
		changes chan change
		ended   chan struct{}
		cancel  context.CancelFunc
	)

	BeforeEach(func() {
		s = newScripted()
		changes = make(chan change, 100)
		d = newDirectory(s, func(version uint64, document []byte) {
			changes <- change{version, string(document), d.Version()}
		})
		var ctx context.Context
		ctx, cancel = context.WithCancel(context.Background())
		ended = make(chan struct{})
		go func() {
			d.Run(ctx)
			close(ended)
		}()
		DeferCleanup(func() {
			cancel()
			passUntil(s, ended)
		})
	})

	request := func(a asking) *protocol.WatchRequest { return a.request.(*protocol.WatchRequest) }
	answer := func(version uint64, document string) *protocol.WatchResponse {
		return &protocol.WatchResponse{Version: version, Configuration: []byte(document)}
	}

	It("asks for a snapshot, then for what is newer", func() {
		Expect(d.Fresh(time.Hour)).To(BeFalse())
		first := s.next()
		Expect(first.address).To(Equal("a"))
		Expect(*request(first)).To(Equal(protocol.WatchRequest{WaitMs: 1000, Node: d.options.Node}))
		first.answer(&protocol.WatchResponse{
			Version: 7, Configuration: []byte("seven"), OwnersAt: 4,
			Members: []protocol.Member{{ID: 1, Address: "m1"}},
			Owners:  map[protocol.ShardID]string{0: "a", 3: "m1"},
		}, nil)
		second := s.next()
		Expect(*request(second)).To(Equal(protocol.WatchRequest{Version: 7, Owners: 4, WaitMs: 1000, Node: d.options.Node}))
		Expect(d.Version()).To(Equal(uint64(7)))
		Expect(d.Owner(3)).To(Equal("m1"))
		Expect(d.Members()).To(Equal([]protocol.Member{{ID: 1, Address: "m1"}}))
		Expect(d.ConfirmedAt()).To(Equal(first.at))
		Expect(changes).To(Receive(Equal(change{7, "seven", 0})))
		second.answer(answer(8, "eight"), nil)
		third := s.next()
		Expect(request(third).Version).To(Equal(uint64(8)))
		Expect(changes).To(Receive(Equal(change{8, "eight", 7})))
	})

	It("counts as fresh from its sending, for as long as asked", func() {
		first := s.next()
		s.clock.Advance(time.Second)
		first.answer(answer(1, "one"), nil)
		s.next()
		Expect(d.Fresh(time.Second)).To(BeTrue())
		Expect(d.Fresh(time.Second - 1)).To(BeFalse())
	})

	It("is confirmed too while there is no configuration yet", func() {
		first := s.next()
		first.answer(&protocol.WatchResponse{}, nil)
		s.next()
		Expect(d.ConfirmedAt()).To(Equal(first.at))
		Expect(d.Version()).To(BeZero())
		Expect(changes).To(BeEmpty())
	})

	It("passes over an older version, and asks another", func() {
		s.next().answer(answer(5, "five"), nil)
		confirming := s.next()
		confirming.answer(answer(5, ""), nil)
		old := s.next()
		old.answer(answer(4, "four"), nil)
		got := s.next()
		Expect(got.address).NotTo(Equal(old.address))
		Expect(request(got).Version).To(Equal(uint64(5)))
		Expect(d.Version()).To(Equal(uint64(5)))
		Expect(d.ConfirmedAt()).To(Equal(confirming.at))
		Expect(changes).To(HaveLen(1))
	})

	It("asks for a snapshot where a newer version came without its document", func() {
		first := s.next()
		s.clock.Advance(time.Millisecond)
		first.answer(answer(5, "five"), nil)
		bare := s.next()
		bare.answer(answer(6, ""), nil)
		got := s.next()
		Expect(request(got).Version).To(BeZero())
		Expect(d.Version()).To(Equal(uint64(5)))
		Expect(bare.at).NotTo(Equal(first.at))
		Expect(d.ConfirmedAt()).To(Equal(first.at))
		got.answer(answer(6, "six"), nil)
		Expect(request(s.next()).Version).To(Equal(uint64(6)))
	})

	It("follows hints at once, and not for ever", func() {
		first := s.next()
		first.answer(nil, notLeader("b"))
		second := s.next()
		Expect(second.address).To(Equal("b"))
		second.answer(nil, notLeader("c"))
		third := s.next()
		Expect(third.address).To(Equal("c"))
		third.answer(nil, notLeader("b"))
		fourth := s.next()
		Expect(fourth.address).To(Equal("b"))
		Expect(fourth.at.Sub(third.at)).To(Equal(leastWatchPause))
		fourth.answer(answer(1, "one"), nil)
		s.next()
		Expect(d.Owner(protocol.ConfigurationShard)).To(Equal("b"))
	})

	It("tries another at once when one is silent", func() {
		first := s.next()
		s.clock.Advance(watchWait + watchSlack - 1)
		Expect(first.ctx.Done()).NotTo(BeClosed())
		s.clock.Advance(1)
		second := s.next()
		Expect(second.address).To(Equal("b"))
		Expect(second.at.Sub(first.at)).To(Equal(watchWait + watchSlack))
	})

	It("backs off where nobody helps, and goes round", func() {
		last := s.next()
		for i, pause := range []time.Duration{50, 100, 200, 400, 400} {
			last.answer(nil, ofKind(failure.Unavailable))
			got := s.next()
			Expect(got.at.Sub(last.at)).To(Equal(pause * time.Millisecond))
			Expect(got.address).To(Equal(threeSeeds[(i+1)%3]))
			last = got
		}
	})

	It("does not hammer an owner that answers at once without news", func() {
		s.next().answer(answer(1, "one"), nil)
		last := s.next()
		for range 5 {
			last.answer(answer(1, ""), nil)
			got := s.next()
			Expect(got.at.Sub(last.at)).To(Equal(leastWatchSpan))
			last = got
		}
	})

	It("is sent anew by a Refresh, wanting an answer at once, but not if it is young", func() {
		young := s.next()
		d.Refresh()
		Expect(young.ctx.Done()).NotTo(BeClosed())
		s.clock.Advance(leastRefresh)
		d.Refresh()
		Eventually(young.ctx.Done()).WithTimeout(soon).Should(BeClosed())
		var got asking
		Eventually(s.calls).WithTimeout(soon).Should(Receive(&got))
		Expect(got.address).To(Equal(young.address))
		Expect(request(got).WaitMs).To(BeZero())
		s.clock.Advance(leastRefresh)
		d.Refresh() // the answer at once is not broken off
		got.answer(answer(1, "one"), nil)
		Expect(request(s.next()).WaitMs).To(Equal(watchWait.Milliseconds()))
	})

	It("learns members to ask", func() {
		s.next().answer(&protocol.WatchResponse{OwnersAt: 1, Members: []protocol.Member{{Address: "m1"}, {Address: "m2"}}}, nil)
		failing := s.next()
		Expect(failing.address).To(Equal("a"))
		failing.answer(nil, ofKind(failure.Unavailable))
		Expect(s.next().address).To(Equal("b"))
	})

	It("takes new seeds", func() {
		d.SetSeeds([]string{"n1"})
		s.next().answer(nil, ofKind(failure.Unavailable))
		Expect(s.next().address).To(Equal("n1"))
	})
})
