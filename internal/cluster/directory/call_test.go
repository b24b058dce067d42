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

// attempt is one attempt as a table expects it, and its end.
type attempt struct {
	address string
	err     error
}

var _ = Describe("A call", func() {
	const shard = protocol.ShardID(2)

	start := func(ctx context.Context, d *Directory, mayRepeat bool) <-chan error {
		ended := make(chan error, 1)
		go func() {
			answer, err := Call[request, response](ctx, d, shard, &request{Text: "do"}, mayRepeat)
			if err == nil && answer.Text != "done" {
				err = failure.New(failure.Invalid, "not the answer")
			}
			ended <- err
		}()
		return ended
	}

	DescribeTable("goes from process to process",
		func(owner string, mayRepeat bool, end failure.Kind, ownerAfter string, script ...attempt) {
			s := newScripted()
			d := newDirectory(s, nil)
			d.noteOwner(shard, owner)
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
		Entry("to the owner", "x", false, failure.None, "x", attempt{"x", nil}),
		Entry("by a hint", "", false, failure.None, "x", attempt{"a", notLeader("x")}, attempt{"x", nil}),
		Entry("by hints to and fro", "x", false, failure.None, "y", attempt{"x", notLeader("y")}, attempt{"y", notLeader("x")},
			attempt{"x", notLeader("y")}, attempt{"y", nil}),
		Entry("past hints that go round for ever", "", false, failure.None, "c", attempt{"a", notLeader("b")}, attempt{"b", notLeader("a")},
			attempt{"a", notLeader("b")}, attempt{"b", notLeader("a")}, attempt{"a", notLeader("b")}, attempt{"b", notLeader("a")},
			attempt{"c", nil}),
		Entry("in turn", "", false, failure.None, "c", attempt{"a", notLeader("")}, attempt{"b", notLeader("")}, attempt{"c", nil}),
		Entry("past a hint to oneself", "", false, failure.None, "b", attempt{"a", notLeader("a")}, attempt{"b", nil}),
		Entry("past the dead", "", false, failure.None, "b", attempt{"a", ofKind(failure.Unavailable)}, attempt{"b", nil}),
		Entry("and not again after an unknown outcome", "x", false, failure.UnknownOutcome, "",
			attempt{"x", ofKind(failure.UnknownOutcome)}),
		Entry("and again if it may", "x", true, failure.None, "a", attempt{"x", ofKind(failure.UnknownOutcome)}, attempt{"a", nil}),
		Entry("past a hint to who was silent, once", "x", true, failure.None, "x", attempt{"x", ofKind(failure.UnknownOutcome)},
			attempt{"a", notLeader("x")}, attempt{"b", notLeader("x")}, attempt{"x", nil}),
		Entry("to a definite end", "x", true, failure.Overloaded, "x", attempt{"x", ofKind(failure.Overloaded)}),
		Entry("to a job that is not there", "", true, failure.Gone, "x", attempt{"a", notLeader("x")},
			attempt{"x", ofKind(failure.Gone)}),
		Entry("to an older configuration", "x", true, failure.Stale, "x", attempt{"x", ofKind(failure.Stale)}),
		Entry("to a refusal after an unknown outcome, which stays unknown", "x", true, failure.UnknownOutcome, "",
			attempt{"x", ofKind(failure.UnknownOutcome)}, attempt{"a", ofKind(failure.Overloaded)}),
	)

	DescribeTable("ends with its ctx",
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
			s.pause()
			cancel()
			Expect(failure.KindOf(passUntil(s, ended))).To(Equal(end))
		},
		Entry("looking for an owner", true, failure.NotLeader, attempt{"a", notLeader("")}, attempt{"b", notLeader("")}),
		Entry("reaching nobody", true, failure.Unavailable, attempt{"a", ofKind(failure.Unavailable)}),
		Entry("after an unknown outcome", true, failure.UnknownOutcome, attempt{"a", ofKind(failure.UnknownOutcome)},
			attempt{"b", notLeader("")}, attempt{"c", ofKind(failure.Unavailable)}),
	)

	It("says nothing of an owner whose answer it does not wait for", func() {
		s := newScripted()
		d := newDirectory(s, nil)
		d.noteOwner(shard, "x")
		ctx, leave := context.WithCancel(context.Background())
		ended := start(ctx, d, false)
		s.next()
		leave()
		Expect(failure.KindOf(passUntil(s, ended))).To(Equal(failure.UnknownOutcome))
		Expect(d.Owner(shard)).To(Equal("x"))
		Expect(d.first(protocol.ConfigurationShard)).To(Equal("a"))
	})

	It("forgets an owner that is silent until its time is over", func() {
		s := newScripted()
		d := newDirectory(s, nil)
		d.noteOwner(shard, "x")
		ctx, cancel := clockwork.WithTimeout(context.Background(), s.clock, leastPause)
		defer cancel()
		given, leave := context.WithCancel(ctx)
		defer leave()
		ended := start(given, d, false)
		s.next()
		s.clock.Advance(leastPause)
		Expect(failure.KindOf(passUntil(s, ended))).To(Equal(failure.UnknownOutcome))
		Expect(d.Owner(shard)).To(BeEmpty())
	})

	It("that comes too late asks nobody", func() {
		s := newScripted()
		ctx, cancel := context.WithCancel(context.Background())
		cancel()
		Expect(failure.KindOf(<-start(ctx, newDirectory(s, nil), true))).To(Equal(failure.Unavailable))
		Expect(s.calls).To(BeEmpty())
	})

	It("gives a silent owner only part of the time", func() {
		s := newScripted()
		d := newDirectory(s, nil)
		d.noteOwner(shard, "x")
		ended := start(context.Background(), d, true)
		first := s.next()
		s.clock.Advance(attemptTimeout - 1)
		Expect(first.ctx.Done()).NotTo(BeClosed())
		s.clock.Advance(1)
		second := s.next()
		Expect(second.address).To(Equal("a"))
		Expect(second.at.Sub(first.at)).To(Equal(attemptTimeout + leastPause))
		second.answer(&response{Text: "done"}, nil)
		Expect(passUntil(s, ended)).To(Succeed())
	})

	It("does not hammer", func() {
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

	It("goes on at once when a new owner becomes known", func() {
		s := newScripted()
		d := newDirectory(s, nil)
		ended := start(context.Background(), d, true)
		s.next().answer(nil, notLeader(""))
		for range 4 {
			s.next().answer(nil, notLeader(""))
		}
		last := s.next()
		last.answer(nil, notLeader(""))
		s.pause()
		d.noteOwner(shard, "x")
		var got asking
		Eventually(s.calls).WithTimeout(soon).Should(Receive(&got))
		Expect(got.at).To(Equal(last.at))
		Expect(got.address).To(Equal("x"))
		got.answer(&response{Text: "done"}, nil)
		Expect(passUntil(s, ended)).To(Succeed())
	})

	It("starts elsewhere after another call met silence", func() {
		s := newScripted()
		d := newDirectory(s, nil)
		ended := start(context.Background(), d, false)
		s.next().answer(nil, ofKind(failure.UnknownOutcome))
		passUntil(s, ended)
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
		Expect(d.first(shard)).To(Equal("a"))
		Expect(d.first(shard + 1)).To(Equal("a"))
	})

	It("of a directory that knows nobody is Unavailable", func() {
		s := newScripted()
		d := New(Options{Client: s, Clock: s.clock})
		ctx, cancel := context.WithCancel(context.Background())
		ended := start(ctx, d, true)
		cancel()
		Expect(failure.KindOf(passUntil(s, ended))).To(Equal(failure.Unavailable))
	})
})
