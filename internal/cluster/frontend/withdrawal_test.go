package frontend

import (
	"context"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"ospreypond/internal/cluster/failure"
	"ospreypond/internal/cluster/protocol"
)

// Guards against a job that is accepted, by any shard, after the cancel of its then unknown ID was answered with 410.
var _ = Describe("a cancellation of an unknown job", func() {
	gone := func(context.Context, *protocol.CancelRequest) error { return kind(failure.Gone) }

	It("is answered with 410 once all shards have promised never to accept the job", func() {
		b := newFixture()
		b.owners.cancel = gone
		b.owners.fence = func(_ context.Context, r *protocol.FenceRequest) (bool, error) {
			Expect(*r).To(Equal(protocol.FenceRequest{Shard: r.Shard, ID: jobID, ConfigurationVersion: protocol.EveryVersion}))
			return false, nil
		}
		Expect(b.do(request("DELETE", "/a/"+jobID, "")).Code).To(Equal(410))
		Expect(b.owners.calls()).To(Equal([]string{"cancel 1", "fence 1", "fence 2", "fence 3", "fence 4"}))
	})

	DescribeTable("is not answered with 410 if a shard gives no promise",
		func(k failure.Kind, status int) {
			b := newFixture()
			b.owners.cancel = gone
			b.owners.fence = func(_ context.Context, r *protocol.FenceRequest) (bool, error) {
				if r.Shard == 3 {
					return false, kind(k)
				}
				return false, nil
			}
			Expect(b.do(request("DELETE", "/a/"+jobID, "")).Code).To(Equal(status))
		},
		Entry("because it is overloaded", failure.Overloaded, 429),
		Entry("because it is unavailable", failure.Unavailable, 503),
		Entry("because it has no owner", failure.NotLeader, 503),
		Entry("because its promise has an unknown outcome", failure.UnknownOutcome, 504),
	)

	It("does not ask the remaining shards when its time is over", func() {
		b := newFixture()
		b.owners.cancel = gone
		b.owners.fence = func(ctx context.Context, _ *protocol.FenceRequest) (bool, error) {
			b.clock.Advance(maxQueryTime)
			<-ctx.Done()
			return false, nil
		}
		Expect(b.do(request("DELETE", "/a/"+jobID, "")).Code).To(Equal(503))
		Expect(b.owners.calls()).To(Equal([]string{"cancel 1", "fence 1"}))
	})

	// accepts makes a shard accept the job between the first cancellations and the fences.
	accepts := func(b *fixture, shard protocol.ShardID) {
		accepted := false
		b.owners.fence = func(_ context.Context, r *protocol.FenceRequest) (bool, error) {
			accepted = accepted || r.Shard == shard
			return r.Shard == shard, nil
		}
		b.owners.cancel = func(_ context.Context, r *protocol.CancelRequest) error {
			if accepted && r.Shard == shard {
				return nil
			}
			return kind(failure.Gone)
		}
	}

	It("cancels the job if a shard of the queue accepts it in the meantime", func() {
		b := newFixture()
		accepts(b, 3)
		Expect(b.do(request("DELETE", "/b/"+jobID, "")).Code).To(Equal(200))
		Expect(b.owners.calls()).To(ContainElement("cancel 3"))
	})

	It("cancels the job if the shard to which the queue moves accepts it in the meantime", func() {
		b := newFixture()
		accepts(b, 4)
		fence := b.owners.fence
		b.owners.fence = func(ctx context.Context, r *protocol.FenceRequest) (bool, error) {
			b.views.Set(view(9, map[string]*Route{"/a/": route("/a/", 4, 1)}))
			return fence(ctx, r)
		}
		Expect(b.do(request("DELETE", "/a/"+jobID, "")).Code).To(Equal(200))
	})

	It("does not cancel a job of another queue with the same ID", func() {
		b := newFixture()
		accepts(b, 4)
		Expect(b.do(request("DELETE", "/a/"+jobID, "")).Code).To(Equal(410))
		Expect(b.owners.calls()).NotTo(ContainElement("cancel 4"))
	})

	It("is answered with 410 if a shard has forgotten the job after its end", func() {
		b := newFixture()
		b.owners.cancel = gone
		b.owners.fence = func(_ context.Context, r *protocol.FenceRequest) (bool, error) { return r.Shard == 1, nil }
		Expect(b.do(request("DELETE", "/a/"+jobID, "")).Code).To(Equal(410))
	})

	It("has a later submission answered with 410 at once, without another attempt", func() {
		b := newFixture()
		b.owners.submit = func(context.Context, *protocol.SubmitRequest) error {
			return failure.New(failure.Gone, "the job was cancelled before it was accepted")
		}
		w := b.do(request("POST", "/a/"+jobID, oneStep))
		Expect(w.Code).To(Equal(410))
		Expect(w.Body.String()).To(ContainSubstring("the job was cancelled before it was accepted"))
		Expect(b.owners.calls()).To(Equal([]string{"submit 1"}))
	})

	It("has a later submission to a queue that has moved answered with 410 by the current shard", func() {
		b := newFixture()
		b.owners.submit = func(context.Context, *protocol.SubmitRequest) error { return kind(failure.Gone) }
		Expect(b.do(request("POST", "/b/"+jobID, oneStep)).Code).To(Equal(410))
		Expect(b.owners.calls()).To(Equal([]string{"fence 3", "fence 4", "submit 2"}))
	})
})
