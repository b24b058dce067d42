package directory

import (
	"context"
	"time"

	"github.com/jonboulle/clockwork"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"ospreypond/internal/cluster/failure"
	"ospreypond/internal/cluster/protocol"
)

type request struct{ Text string }

type response struct{ Text string }

// attempt is an expected attempt of a call: the address that it goes to, and the error that it ends with.
type attempt struct {
	address string
	err     error
}

var _ = Describe("A call", func() {
	const shard = protocol.ShardID(2)

	// start starts a call in a goroutine and returns the channel that gets its error.
	start := func(ctx context.Context, d *Directory, mayRepeat bool) <-chan error {
		ended := make(chan error, 1)
		go func() {
			response, err := Call[request, response](ctx, d, shard, &request{Text: "do"}, mayRepeat)
			if err == nil && response.Text != "done" {
				err = failure.New(failure.Invalid, "the response has another text")
			}
			ended <- err
		}()
		return ended
	}

	DescribeTable("tries one process after the other until it ends",
		func(owner string, mayRepeat bool, end failure.Kind, ownerAfter string, script ...attempt) {
			s := newScripted()
			d := newDirectory(s, nil)
			d.recordOwner(shard, owner)
			ended := start(context.Background(), d, mayRepeat)
			for i, expected := range script {
				got := s.next()
				Expect(got.address).To(Equal(expected.address), "attempt %d", i)
				if expected.err == nil {
					got.answer(&response{Text: "done"}, nil)
				} else {
					got.answer(nil, expected.err)
				}
			}
			Expect(failure.KindOf(passUntil(s, ended))).To(Equal(end))
			Expect(s.calls).To(BeEmpty())
			Expect(d.Owner(shard)).To(Equal(ownerAfter))
		},
		Entry("at the known owner", "x", false, failure.None, "x", attempt{"x", nil}),
		Entry("by following a hint", "", false, failure.None, "x", attempt{"a", notLeader("x")}, attempt{"x", nil}),
		Entry("by following hints of two processes that name each other", "x", false, failure.None, "y",
			attempt{"x", notLeader("y")}, attempt{"y", notLeader("x")},
			attempt{"x", notLeader("y")}, attempt{"y", nil}),
		Entry("at another process after hints that go round in a circle", "", false, failure.None, "c",
			attempt{"a", notLeader("b")}, attempt{"b", notLeader("a")},
			attempt{"a", notLeader("b")}, attempt{"b", notLeader("a")}, attempt{"a", notLeader("b")}, attempt{"b", notLeader("a")},
			attempt{"c", nil}),
		Entry("round robin while none knows the owner", "", false, failure.None, "c",
			attempt{"a", notLeader("")}, attempt{"b", notLeader("")}, attempt{"c", nil}),
		Entry("at the next process after one that names itself but isn't the owner", "", false, failure.None, "b",
			attempt{"a", notLeader("a")}, attempt{"b", nil}),
		Entry("at the next process after an unreachable one", "", false, failure.None, "b",
			attempt{"a", ofKind(failure.Unavailable)}, attempt{"b", nil}),
		Entry("with an unknown outcome if it may not repeat the request", "x", false, failure.UnknownOutcome, "",
			attempt{"x", ofKind(failure.UnknownOutcome)}),
		Entry("after an unknown outcome if it may repeat the request", "x", true, failure.None, "a",
			attempt{"x", ofKind(failure.UnknownOutcome)}, attempt{"a", nil}),
		Entry("without following the first hint to an unresponsive process", "x", true, failure.None, "x",
			attempt{"x", ofKind(failure.UnknownOutcome)},
			attempt{"a", notLeader("x")}, attempt{"b", notLeader("x")}, attempt{"x", nil}),
		Entry("with the owner's definite error", "x", true, failure.Overloaded, "x", attempt{"x", ofKind(failure.Overloaded)}),
		Entry("with the owner's error that a job doesn't exist", "", true, failure.Gone, "x", attempt{"a", notLeader("x")},
			attempt{"x", ofKind(failure.Gone)}),
		Entry("with the owner's error that the configuration is older", "x", true, failure.Stale, "x",
			attempt{"x", ofKind(failure.Stale)}),
		Entry("with an unknown outcome if a definite error follows one", "x", true, failure.UnknownOutcome, "",
			attempt{"x", ofKind(failure.UnknownOutcome)}, attempt{"a", ofKind(failure.Overloaded)}),
	)

	DescribeTable("ends when its context is canceled",
		func(mayRepeat bool, end failure.Kind, script ...attempt) {
			s := newScripted()
			d := newDirectory(s, nil)
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			ended := start(ctx, d, mayRepeat)
			for i, expected := range script {
				got := s.next()
				Expect(got.address).To(Equal(expected.address), "attempt %d", i)
				got.answer(nil, expected.err)
			}
			s.waitForTimer()
			cancel()
			Expect(failure.KindOf(passUntil(s, ended))).To(Equal(end))
		},
		Entry("while it looks for an owner", true, failure.NotLeader, attempt{"a", notLeader("")}, attempt{"b", notLeader("")}),
		Entry("while it reaches no process", true, failure.Unavailable, attempt{"a", ofKind(failure.Unavailable)}),
		Entry("after an unknown outcome", true, failure.UnknownOutcome, attempt{"a", ofKind(failure.UnknownOutcome)},
			attempt{"b", notLeader("")}, attempt{"c", ofKind(failure.Unavailable)}),
	)

	It("keeps the recorded owner if the caller cancels the call before its deadline", func() {
		s := newScripted()
		d := newDirectory(s, nil)
		d.recordOwner(shard, "x")
		ctx, cancel := context.WithCancel(context.Background())
		ended := start(ctx, d, false)
		s.next()
		cancel()
		Expect(failure.KindOf(passUntil(s, ended))).To(Equal(failure.UnknownOutcome))
		Expect(d.Owner(shard)).To(Equal("x"))
		Expect(d.firstTarget(protocol.ConfigurationShard)).To(Equal("a"))
	})

	It("forgets the recorded owner if it doesn't respond until the deadline", func() {
		s := newScripted()
		d := newDirectory(s, nil)
		d.recordOwner(shard, "x")
		ctx, cancel := clockwork.WithTimeout(context.Background(), s.clock, minRetryBackoff)
		defer cancel()
		inner, cancelInner := context.WithCancel(ctx)
		defer cancelInner()
		ended := start(inner, d, false)
		s.next()
		s.clock.Advance(minRetryBackoff)
		Expect(failure.KindOf(passUntil(s, ended))).To(Equal(failure.UnknownOutcome))
		Expect(d.Owner(shard)).To(BeEmpty())
	})

	It("calls no process if its context has ended before", func() {
		s := newScripted()
		ctx, cancel := context.WithCancel(context.Background())
		cancel()
		Expect(failure.KindOf(<-start(ctx, newDirectory(s, nil), true))).To(Equal(failure.Unavailable))
		Expect(s.calls).To(BeEmpty())
	})

	It("waits attemptTimeout for an unresponsive owner, then tries another process", func() {
		s := newScripted()
		d := newDirectory(s, nil)
		d.recordOwner(shard, "x")
		ended := start(context.Background(), d, true)
		first := s.next()
		s.clock.Advance(attemptTimeout - 1)
		Expect(first.ctx.Done()).NotTo(BeClosed())
		s.clock.Advance(1)
		second := s.next()
		Expect(second.address).To(Equal("a"))
		Expect(second.at.Sub(first.at)).To(Equal(attemptTimeout + minRetryBackoff))
		second.answer(&response{Text: "done"}, nil)
		Expect(passUntil(s, ended)).To(Succeed())
	})

	It("waits longer after each failed attempt", func() {
		s := newScripted()
		d := newDirectory(s, nil)
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		ended := start(ctx, d, true)
		last := s.next()
		for _, pause := range []time.Duration{30, 60, 120, 200, 200} {
			last.answer(nil, notLeader(""))
			got := s.next()
			Expect(got.at.Sub(last.at)).To(Equal(pause * time.Millisecond))
			last = got
		}
		cancel()
		Expect(failure.KindOf(passUntil(s, ended))).To(Equal(failure.UnknownOutcome))
	})

	It("ends its wait when a new owner becomes known, and calls that owner", func() {
		s := newScripted()
		d := newDirectory(s, nil)
		ended := start(context.Background(), d, true)
		s.next().answer(nil, notLeader(""))
		for range 4 {
			s.next().answer(nil, notLeader(""))
		}
		last := s.next()
		last.answer(nil, notLeader(""))
		s.waitForTimer()
		d.recordOwner(shard, "x")
		var got scriptedCall
		Eventually(s.calls).WithTimeout(soon).Should(Receive(&got))
		Expect(got.at).To(Equal(last.at))
		Expect(got.address).To(Equal("x"))
		got.answer(&response{Text: "done"}, nil)
		Expect(passUntil(s, ended)).To(Succeed())
	})

	It("starts at the next process if an earlier call found the first one unresponsive", func() {
		s := newScripted()
		d := newDirectory(s, nil)
		ended := start(context.Background(), d, false)
		s.next().answer(nil, ofKind(failure.UnknownOutcome))
		Expect(failure.KindOf(passUntil(s, ended))).To(Equal(failure.UnknownOutcome))
		ended = start(context.Background(), d, true)
		for _, address := range []string{"b", "c"} {
			got := s.next()
			Expect(got.address).To(Equal(address))
			got.answer(nil, ofKind(failure.Unavailable))
		}
		got := s.next()
		Expect(got.address).To(Equal("a"))
		got.answer(&response{Text: "done"}, nil)
		Expect(passUntil(s, ended)).To(Succeed())
		Expect(d.firstTarget(shard)).To(Equal("a"))
		Expect(d.firstTarget(shard + 1)).To(Equal("a"))
	})

	It("fails with Unavailable if the directory knows no process", func() {
		s := newScripted()
		d := New(Options{Client: s, Clock: s.clock})
		ctx, cancel := context.WithCancel(context.Background())
		ended := start(ctx, d, true)
		cancel()
		Expect(failure.KindOf(passUntil(s, ended))).To(Equal(failure.Unavailable))
	})
})
