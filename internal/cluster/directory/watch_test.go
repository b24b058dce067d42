package directory

import (
	"bytes"
	"compress/flate"
	"context"
	"fmt"
	"slices"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/pkg/errors"

	"ospreypond/internal/cluster/failure"
	"ospreypond/internal/cluster/protocol"
)

// change is one call of OnConfiguration.
type change struct {
	version  uint64
	document string
	before   uint64 // result of Version during the call
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
		d = newDirectory(s, func(version uint64, document []byte) error {
			changes <- change{version, string(document), d.Version()}
			if strings.HasPrefix(string(document), "bad") {
				return errors.New("the changes are relative to another version")
			}
			return nil
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

	request := func(a scriptedCall) *protocol.WatchRequest { return a.request.(*protocol.WatchRequest) }
	response := func(version uint64, document string) *protocol.WatchResponse {
		return &protocol.WatchResponse{Version: version, Configuration: []byte(document)}
	}

	It("requests a complete document first, then the changes since its version", func() {
		Expect(d.Fresh(time.Hour)).To(BeFalse())
		Expect(d.ConfirmedSince(s.clock.Now().Add(-time.Hour))).To(BeFalse())
		first := s.next()
		Expect(first.address).To(Equal("a"))
		Expect(*request(first)).To(Equal(protocol.WatchRequest{
			WaitMs: 1000, Node: d.options.Node, Changes: true, Compressed: true}))
		first.answer(&protocol.WatchResponse{
			Version: 7, Configuration: []byte("seven"), OwnersAt: 4,
			Members: []protocol.Member{{ID: 1, Address: "m1"}},
			Owners:  map[protocol.ShardID]string{0: "a", 3: "m1"},
		}, nil)
		second := s.next()
		Expect(*request(second)).To(Equal(protocol.WatchRequest{
			Version: 7, Owners: 4, WaitMs: 1000, Node: d.options.Node, Changes: true, Compressed: true}))
		Expect(d.Version()).To(Equal(uint64(7)))
		Expect(d.Owner(3)).To(Equal("m1"))
		Expect(d.members()).To(Equal([]protocol.Member{{ID: 1, Address: "m1"}}))
		Expect(d.ConfirmedAt()).To(Equal(first.at))
		Expect(changes).To(Receive(Equal(change{7, "seven", 0})))
		second.answer(response(8, "eight"), nil)
		third := s.next()
		Expect(request(third).Version).To(Equal(uint64(8)))
		Expect(changes).To(Receive(Equal(change{8, "eight", 7})))
	})

	It("confirms the view as of the time when it was sent", func() {
		first := s.next()
		s.clock.Advance(time.Second)
		first.answer(response(1, "one"), nil)
		s.next()
		Expect(d.Fresh(time.Second)).To(BeTrue())
		Expect(d.Fresh(time.Second - 1)).To(BeFalse())
		Expect(d.ConfirmedSince(first.at)).To(BeTrue())
		Expect(d.ConfirmedSince(first.at.Add(1))).To(BeFalse())
	})

	DescribeTable("confirms the view as of the time when the owner asked for the confirmation of its leadership",
		func(heldMs int64, passed, confirmed time.Duration) {
			first := s.next()
			s.clock.Advance(passed)
			first.answer(&protocol.WatchResponse{Version: 1, Configuration: []byte("one"), HeldMs: heldMs}, nil)
			s.next()
			Expect(d.ConfirmedAt().Sub(first.at)).To(Equal(confirmed))
		},
		Entry("less 3%, since clocks may differ in speed", int64(1000), 1100*time.Millisecond, 970*time.Millisecond),
		Entry("but not later than now", int64(5000), time.Second, time.Second),
		Entry("but not earlier than the watch was sent", int64(-5), time.Second, time.Duration(0)),
	)

	It("requests a complete document after rejected changes, whose version is neither known nor confirmed", func() {
		first := s.next()
		first.answer(response(5, "five"), nil)
		changed := s.next()
		changed.answer(response(6, "bad changes"), nil)
		complete := s.next()
		Expect(request(complete).Version).To(BeZero())
		Expect(request(complete).Changes).To(BeFalse())
		Expect(d.Version()).To(Equal(uint64(5)))
		Expect(d.ConfirmedAt()).To(Equal(first.at))
		complete.answer(response(6, "bad complete one"), nil)
		retry := s.next()
		Expect(request(retry).Version).To(BeZero())
		Expect(retry.at.Sub(complete.at)).To(Equal(maxWatchBackoff), "the complete document was rejected, too")
		retry.answer(response(6, "six"), nil)
		Expect(request(s.next()).Changes).To(BeTrue())
		Expect(d.Version()).To(Equal(uint64(6)))
	})

	It("confirms the view even if there is no configuration yet", func() {
		first := s.next()
		first.answer(&protocol.WatchResponse{}, nil)
		s.next()
		Expect(d.ConfirmedAt()).To(Equal(first.at))
		Expect(d.Version()).To(BeZero())
		Expect(changes).To(BeEmpty())
	})

	It("ignores a response with an older version and goes to another process", func() {
		s.next().answer(response(5, "five"), nil)
		confirming := s.next()
		confirming.answer(response(5, ""), nil)
		old := s.next()
		old.answer(response(4, "four"), nil)
		got := s.next()
		Expect(got.address).NotTo(Equal(old.address))
		Expect(request(got).Version).To(Equal(uint64(5)))
		Expect(d.Version()).To(Equal(uint64(5)))
		Expect(d.ConfirmedAt()).To(Equal(confirming.at))
		Expect(changes).To(HaveLen(1))
	})

	It("requests a complete document after a response with a newer version but no document", func() {
		first := s.next()
		s.clock.Advance(time.Millisecond)
		first.answer(response(5, "five"), nil)
		bare := s.next()
		bare.answer(response(6, ""), nil)
		got := s.next()
		Expect(request(got).Version).To(BeZero())
		Expect(d.Version()).To(Equal(uint64(5)))
		Expect(bare.at).NotTo(Equal(first.at))
		Expect(d.ConfirmedAt()).To(Equal(first.at))
		got.answer(response(6, "six"), nil)
		Expect(request(s.next()).Version).To(Equal(uint64(6)))
	})

	It("follows two hints in a row at once, and the third after a wait", func() {
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
		Expect(fourth.at.Sub(third.at)).To(Equal(minWatchBackoff))
		fourth.answer(response(1, "one"), nil)
		s.next()
		Expect(d.Owner(protocol.ConfigurationShard)).To(Equal("b"))
	})

	It("goes to a third process if two processes keep naming each other as the owner", func() {
		targets := map[string]int{}
		for range 12 {
			got := s.next()
			targets[got.address]++
			switch got.address {
			case "a":
				got.answer(nil, notLeader("b"))
			case "b":
				got.answer(nil, notLeader("a"))
			default:
				got.answer(response(1, "one"), nil)
				s.next()
				Expect(d.Owner(protocol.ConfigurationShard)).To(Equal("c"))
				return
			}
		}
		Fail(fmt.Sprint("the third process never got a watch; watches by process: ", targets))
	})

	It("goes to the next process if one rejects the watch and names itself as the owner", func() {
		s.next().answer(nil, notLeader("a"))
		Expect(s.next().address).To(Equal("b"))
	})

	It("goes to the next process without a backoff after one did not respond in time", func() {
		first := s.next()
		s.clock.Advance(defaultWait + watchSlack - 1)
		Expect(first.ctx.Done()).NotTo(BeClosed())
		s.clock.Advance(1)
		second := s.next()
		Expect(second.address).To(Equal("b"))
		Expect(second.at.Sub(first.at)).To(Equal(defaultWait + watchSlack))
	})

	It("tries the processes round robin, with a growing backoff, while none answers", func() {
		last := s.next()
		for i, pause := range []time.Duration{50, 100, 200, 400, 400} {
			last.answer(nil, ofKind(failure.Unavailable))
			got := s.next()
			Expect(got.at.Sub(last.at)).To(Equal(pause * time.Millisecond))
			Expect(got.address).To(Equal(threeSeeds[(i+1)%3]))
			last = got
		}
	})

	It("has a longer timeout after each timeout, and can't be canceled by Refresh then", func() {
		const timeout = defaultWait + watchSlack
		mayBeCanceled := func() bool {
			d.mutex.Lock()
			defer d.mutex.Unlock()
			return d.cancelWatch != nil
		}
		for _, extra := range []time.Duration{0, timeout, 2 * timeout, 4 * timeout, maxExtraTimeout, maxExtraTimeout} {
			slow := s.next()
			Expect(request(slow).Version).To(BeZero())
			deadline, ok := slow.ctx.Deadline()
			Expect(ok).To(BeTrue())
			Expect(deadline.Sub(slow.at)).To(Equal(timeout + extra))
			Expect(mayBeCanceled()).To(Equal(extra == 0))
			s.clock.Advance(timeout + extra)
			Eventually(slow.ctx.Done()).WithTimeout(soon).Should(BeClosed())
		}
		s.next().answer(response(1, "one"), nil)
		following := s.next()
		deadline, _ := following.ctx.Deadline()
		Expect(deadline.Sub(following.at)).To(Equal(timeout), "a response sets the extra time back to 0")
		Expect(mayBeCanceled()).To(BeTrue())
		s.clock.Advance(timeout)
		Eventually(following.ctx.Done()).WithTimeout(soon).Should(BeClosed())
		newer := s.next()
		Expect(request(newer).Version).To(Equal(uint64(1)))
		deadline, _ = newer.ctx.Deadline()
		Expect(deadline.Sub(newer.at)).To(Equal(2*timeout),
			"the response to a watch with a version may be a complete document, too")
	})

	It("decompresses a configuration, and goes to another process if that fails", func() {
		var packed bytes.Buffer
		writer, err := flate.NewWriter(&packed, flate.BestSpeed)
		Expect(err).NotTo(HaveOccurred())
		_, err = writer.Write([]byte("seven"))
		Expect(err).NotTo(HaveOccurred())
		Expect(writer.Close()).To(Succeed())
		broken := s.next()
		broken.answer(&protocol.WatchResponse{Version: 7, Configuration: packed.Bytes()[:3], Compressed: true}, nil)
		Expect(d.Version()).To(BeZero())
		s.next().answer(&protocol.WatchResponse{Version: 7, Configuration: packed.Bytes(), Compressed: true}, nil)
		Expect(request(s.next()).Version).To(Equal(uint64(7)))
		Expect(changes).To(Receive(Equal(change{7, "seven", 0})))
	})

	It("is sent at most once per minWatchInterval to an owner that answers at once with nothing new", func() {
		s.next().answer(response(1, "one"), nil)
		last := s.next()
		for range 5 {
			last.answer(response(1, ""), nil)
			got := s.next()
			Expect(got.at.Sub(last.at)).To(Equal(minWatchInterval))
			last = got
		}
	})

	It("is canceled by Refresh and sent again without a wait, unless it was sent less than minRefreshInterval ago", func() {
		young := s.next()
		d.Refresh()
		Expect(young.ctx.Done()).NotTo(BeClosed())
		s.clock.Advance(minRefreshInterval)
		d.Refresh()
		Eventually(young.ctx.Done()).WithTimeout(soon).Should(BeClosed())
		var got scriptedCall
		Eventually(s.calls).WithTimeout(soon).Should(Receive(&got))
		Expect(got.address).To(Equal(young.address))
		Expect(request(got).WaitMs).To(BeZero())
		s.clock.Advance(minRefreshInterval)
		d.Refresh() // a watch that is to be answered at once isn't canceled
		got.answer(response(1, "one"), nil)
		Expect(request(s.next()).WaitMs).To(Equal(defaultWait.Milliseconds()))
	})

	It("goes to the next address in the list if its target fails, also after a response listed members", func() {
		s.next().answer(&protocol.WatchResponse{OwnersAt: 1, Members: []protocol.Member{{Address: "m1"}, {Address: "m2"}}}, nil)
		failing := s.next()
		Expect(failing.address).To(Equal("a"))
		failing.answer(nil, ofKind(failure.Unavailable))
		Expect(s.next().address).To(Equal("b"))
	})

	It("requests only owners if OnConfiguration is nil", func() {
		caller := newScripted()
		agent := newDirectory(caller, nil)
		ctx, cancelAgent := context.WithCancel(context.Background())
		agentEnded := make(chan struct{})
		go func() {
			agent.Run(ctx)
			close(agentEnded)
		}()
		DeferCleanup(func() {
			cancelAgent()
			passUntil(caller, agentEnded)
		})
		got := caller.next()
		Expect(request(got).OwnersOnly).To(BeTrue())
		Expect(request(got).Changes).To(BeFalse())
		got.answer(&protocol.WatchResponse{Version: 6, OwnersAt: 2, Owners: map[protocol.ShardID]string{3: "m3"}}, nil)
		Expect(request(caller.next()).Version).To(Equal(uint64(6)))
		Expect(agent.Owner(3)).To(Equal("m3"))
		Expect(agent.ConfirmedAt()).To(Equal(got.at))
	})

	It("goes to new seeds after its target failed", func() {
		d.SetSeeds([]string{"n1"})
		s.next().answer(nil, ofKind(failure.Unavailable))
		Expect(s.next().address).To(Equal("n1"))
	})
})

// members returns a copy of the control processes that d knows.
func (d *Directory) members() []protocol.Member {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return slices.Clone(d.view.members)
}
