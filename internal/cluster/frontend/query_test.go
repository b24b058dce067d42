package frontend

import (
	"context"
	"net/http/httptest"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"ospreypond/internal/cluster/failure"
	"ospreypond/internal/cluster/protocol"
)

var _ = Describe("queues that have moved to another service", func() {
	DescribeTable("submissions fence the earlier shards first",
		func(has map[protocol.ShardID]bool, failing protocol.ShardID, failsWith failure.Kind, status int, calls ...string) {
			b := newFixture()
			b.owners.fence = func(_ context.Context, r *protocol.FenceRequest) (bool, error) {
				Expect(r.ConfigurationVersion).To(Equal(uint64(7)))
				if r.Shard == failing {
					return false, kind(failsWith)
				}
				return has[r.Shard], nil
			}
			Expect(b.do(request("POST", "/b/"+jobID, oneStep)).Code).To(Equal(status))
			Expect(b.owners.calls()).To(Equal(calls))
		},
		Entry("none has it", nil, protocol.ShardID(0), failure.None, 200, "fence 3", "fence 4", "submit 2"),
		Entry("the first has it", map[protocol.ShardID]bool{3: true}, protocol.ShardID(0), failure.None, 200, "fence 3"),
		Entry("the last has it", map[protocol.ShardID]bool{4: true}, protocol.ShardID(0), failure.None, 200, "fence 3", "fence 4"),
		Entry("one is unreachable", nil, protocol.ShardID(4), failure.Unavailable, 503, "fence 3", "fence 4"),
		Entry("one does not respond: no shard has accepted the job", nil, protocol.ShardID(3), failure.UnknownOutcome, 503, "fence 3"),
	)

	DescribeTable("queries go to all shards until one has the job",
		func(method string, answers map[protocol.ShardID]failure.Kind, status int, calls ...string) {
			b := newFixture()
			respond := func(shard protocol.ShardID) error {
				if k := answers[shard]; k != failure.None {
					return kind(k)
				}
				return nil
			}
			b.owners.status = func(_ context.Context, r *protocol.StatusRequest) (string, error) {
				return "queued", respond(r.Shard)
			}
			b.owners.cancel = func(_ context.Context, r *protocol.CancelRequest) error { return respond(r.Shard) }
			Expect(b.do(request(method, "/b/"+jobID, "")).Code).To(Equal(status))
			Expect(b.owners.calls()).To(Equal(calls))
		},
		Entry("the present one has it", "GET", nil, 200, "status 2"),
		Entry("an earlier one has it", "GET", map[protocol.ShardID]failure.Kind{2: failure.Gone, 3: failure.Gone}, 200,
			"status 2", "status 3", "status 4"),
		Entry("none has it", "GET", map[protocol.ShardID]failure.Kind{2: failure.Gone, 3: failure.Gone, 4: failure.Gone}, 410,
			"status 2", "status 3", "status 4"),
		Entry("one is unavailable", "GET", map[protocol.ShardID]failure.Kind{2: failure.Gone, 3: failure.NotLeader, 4: failure.Gone}, 503,
			"status 2", "status 3", "status 4"),
		Entry("one is unavailable, another has it", "GET", map[protocol.ShardID]failure.Kind{2: failure.Unavailable}, 200,
			"status 2", "status 3"),
		Entry("an earlier one cancels it", "DELETE", map[protocol.ShardID]failure.Kind{2: failure.Gone}, 200,
			"cancel 2", "cancel 3"),
		Entry("none can cancel it", "DELETE", map[protocol.ShardID]failure.Kind{2: failure.Gone, 3: failure.Gone, 4: failure.Gone}, 410,
			"cancel 2", "cancel 3", "cancel 4"),
		Entry("a cancellation of unknown outcome stays one", "DELETE", map[protocol.ShardID]failure.Kind{2: failure.Unavailable, 3: failure.UnknownOutcome, 4: failure.Gone}, 504,
			"cancel 2", "cancel 3", "cancel 4"),
	)

	It("does not respond Gone while a shard has not been queried", func() {
		b := newFixture()
		b.owners.status = func(ctx context.Context, r *protocol.StatusRequest) (string, error) {
			b.clock.Advance(maxQueryTime)
			<-ctx.Done()
			return "", kind(failure.Gone)
		}
		Expect(b.do(request("GET", "/b/"+jobID, "")).Code).To(Equal(503))
		Expect(b.owners.calls()).To(Equal([]string{"status 2"}))
	})

	It("counts over all shards", func() {
		b := newFixture()
		Expect(b.do(request("GET", "/b/", "")).Body.String()).To(MatchJSON(`{"pending":12}`))
		Expect(b.do(request("GET", "/a/", "")).Body.String()).To(MatchJSON(`{"pending":4}`))
		b.owners.pending = func(context.Context, *protocol.PendingRequest) (int, error) { return 0, kind(failure.UnknownOutcome) }
		Expect(b.do(request("GET", "/a/", "")).Code).To(Equal(503))
	})
})

var _ = Describe("a configuration that may be out of date", func() {
	DescribeTable("restarts a stale submission with the newer configuration",
		func(refusal failure.Kind) {
			b := newFixture()
			b.owners.submit = func(_ context.Context, r *protocol.SubmitRequest) error {
				if r.ConfigurationVersion < 9 {
					return kind(refusal)
				}
				return nil
			}
			b.directory.onRefresh = func() { b.views.Set(view(9, map[string]*Route{"/a/": route("/a/", 4, 1)})) }
			Expect(b.do(request("POST", "/a/"+jobID, oneStep)).Code).To(Equal(200))
			Expect(b.owners.calls()).To(Equal([]string{"submit 1", "fence 1", "submit 4"}))
		},
		Entry("stale", failure.Stale),
		Entry("moved", failure.Moved),
	)

	It("rejects a submission whose queue the newer configuration dropped", func() {
		b := newFixture()
		b.owners.submit = func(context.Context, *protocol.SubmitRequest) error { return kind(failure.Stale) }
		b.directory.onRefresh = func() { b.views.Set(view(9, map[string]*Route{"/c/": route("/c/", 4)})) }
		Expect(b.do(request("POST", "/a/"+jobID, oneStep)).Code).To(Equal(404))
	})

	It("calls an owner again that is itself out of date", func() {
		b := newFixture()
		behind := true
		b.owners.submit = func(context.Context, *protocol.SubmitRequest) error {
			if behind {
				return kind(failure.Stale)
			}
			return nil
		}
		answered := b.serve(request("POST", "/a/"+jobID, oneStep))
		Eventually(b.owners.calls).Should(HaveLen(1))
		b.awaitTimers(2)
		behind = false
		b.clock.Advance(staleRetryInterval)
		var w *httptest.ResponseRecorder
		Eventually(answered).Should(Receive(&w))
		Expect(w.Code).To(Equal(200))
		Expect(b.owners.calls()).To(Equal([]string{"submit 1", "submit 1"}))
	})

	It("gives up a stale submission when no newer configuration arrives", func() {
		b := newFixture()
		b.owners.submit = func(context.Context, *protocol.SubmitRequest) error { return kind(failure.Stale) }
		r := request("POST", "/a/"+jobID, oneStep)
		r.Header.Set(DeadlineHeader, "200") // its time is over before another try is due
		answered := b.serve(r)
		Eventually(b.owners.calls).Should(HaveLen(1))
		b.awaitTimers(2)
		b.clock.Advance(budget(200*time.Millisecond, 0, maxSubmitTime))
		var w *httptest.ResponseRecorder
		Eventually(answered).Should(Receive(&w))
		Expect(w.Code).To(Equal(503))
		Expect(b.directory.refreshes).To(Equal(1))
	})

	DescribeTable("waits for a confirmation where an unknown version could make the response wrong",
		func(method, path, body string, age time.Duration, whenConfirmed, otherwise int) {
			for _, confirmed := range []bool{true, false} {
				b := newFixture()
				b.directory.age = age
				b.owners.status = func(context.Context, *protocol.StatusRequest) (string, error) { return "", kind(failure.Gone) }
				b.owners.cancel = func(context.Context, *protocol.CancelRequest) error { return kind(failure.Gone) }
				want := otherwise
				if confirmed {
					b.directory.onRefresh = func() { b.directory.setAge(0) }
					want = whenConfirmed
				}
				answered := b.serve(request(method, path, body))
				w := b.awaitPolling(answered)
				Expect(w.Code).To(Equal(want))
			}
		},
		Entry("no such queue", "POST", "/z/"+jobID, oneStep, 1900*time.Millisecond, 404, 503),
		Entry("no such job", "GET", "/a/"+jobID, "", 1900*time.Millisecond, 410, 503),
		Entry("no such job, confirmed just before the query", "GET", "/a/"+jobID, "", time.Millisecond, 410, 503),
		Entry("no such job to cancel, confirmed just before", "DELETE", "/a/"+jobID, "", time.Millisecond, 410, 503),
		Entry("nothing below a queue", "GET", "/a/x/"+jobID, "", 1900*time.Millisecond, 404, 503),
		Entry("a short id", "GET", "/a/5c0e", "", 1900*time.Millisecond, 400, 503),
		Entry("a large body", "POST", "/a/"+jobID, `{"spec":"`+strings.Repeat("x", 1000)+`"}`, 1900*time.Millisecond, 413, 503),
		Entry("a count", "GET", "/a/", "", 1900*time.Millisecond, 200, 503),
		Entry("a submission just after the normal age", "POST", "/a/"+jobID, oneStep, 2500*time.Millisecond, 200, 200),
		Entry("a submission long after it", "POST", "/a/"+jobID, oneStep, 6*time.Second, 200, 503),
	)

	DescribeTable("serves by the newer version that arrives with a confirmation",
		func(method, path, body string, status int, calls ...string) {
			b := newFixture()
			b.directory.age = 1900 * time.Millisecond
			b.directory.onRefresh = func() {
				newer := view(9, map[string]*Route{"/a/": route("/a/", 1), "/a/x/": route("/a/x/", 4)})
				newer.Limits.MaxBodyBytes = 3000
				b.views.Set(newer)
				b.directory.setAge(0)
			}
			answered := b.serve(request(method, path, body))
			w := b.awaitPolling(answered)
			Expect(w.Code).To(Equal(status))
			Expect(b.owners.calls()).To(HaveExactElements(calls))
		},
		Entry("a job of a queue with a longer prefix", "GET", "/a/x/"+jobID, "", 200, "status 4"),
		Entry("a count of a queue with a longer prefix", "GET", "/a/x/", "", 200, "pending 4"),
		Entry("a submission to a queue with a longer prefix", "POST", "/a/x/"+jobID, oneStep, 200, "submit 4"),
		Entry("a body that was too large: a retry is asked for", "POST", "/a/"+jobID,
			`{"spec":"`+strings.Repeat("x", 1000)+`","steps":[{"count":1}]}`, 503),
	)

	It("keeps asking for a confirmation while a watch is in flight that was sent before the request arrived", func() {
		b := newFixture()
		b.directory.age = time.Millisecond
		b.owners.status = func(context.Context, *protocol.StatusRequest) (string, error) { return "", kind(failure.Gone) }
		const ignored = 5
		refreshes := 0
		b.directory.onRefresh = func() {
			refreshes++
			if refreshes > ignored {
				b.directory.setAge(0)
			}
		}
		answered := b.serve(request("GET", "/a/"+jobID, ""))
		w := b.awaitPolling(answered)
		Expect(w.Code).To(Equal(410))
		Expect(refreshes).To(Equal(ignored + 1))
	})

	It("does not wait for a confirmation while nothing fails", func() {
		b := newFixture()
		b.directory.age = 1700 * time.Millisecond
		Expect(b.do(request("GET", "/z/", "")).Code).To(Equal(404))
		Expect(b.do(request("GET", "/a/", "")).Code).To(Equal(200))
		Expect(b.do(request("POST", "/a/"+jobID, oneStep)).Code).To(Equal(200))
		Expect(b.directory.refreshes).To(BeZero())
	})

	It("never goes back to an older version", func() {
		views := NewViews()
		Expect(views.Set(view(7, nil))).To(BeTrue())
		Expect(views.Set(view(5, nil))).To(BeFalse())
		Expect(views.Set(view(7, nil))).To(BeFalse())
		Expect(views.Current().Version).To(Equal(uint64(7)))
	})
})

var _ = Describe("deadlines", func() {
	DescribeTable("a request to which no owner responds ends in time",
		func(method, path, deadline string, allowed time.Duration, status int) {
			b := newFixture()
			ended := func(ctx context.Context) error {
				<-ctx.Done()
				return kind(failure.UnknownOutcome)
			}
			b.owners.submit = func(ctx context.Context, _ *protocol.SubmitRequest) error { return ended(ctx) }
			b.owners.status = func(ctx context.Context, _ *protocol.StatusRequest) (string, error) { return "", ended(ctx) }
			b.owners.pending = func(ctx context.Context, _ *protocol.PendingRequest) (int, error) { return 0, ended(ctx) }
			r := request(method, path, oneStep)
			r.Header.Set(DeadlineHeader, deadline)
			answered := b.serve(r)
			b.awaitTimers(1)
			b.clock.Advance(allowed - time.Millisecond)
			Consistently(answered, 20*time.Millisecond).ShouldNot(Receive())
			b.clock.Advance(time.Millisecond)
			var w *httptest.ResponseRecorder
			Eventually(answered).Should(Receive(&w))
			Expect(w.Code).To(Equal(status))
		},
		Entry("a submission", "POST", "/a/"+jobID, "3000", maxSubmitTime, 504),
		Entry("a submission of a client with a short wait", "POST", "/a/"+jobID, "700", 550*time.Millisecond, 504),
		Entry("a state", "GET", "/a/"+jobID, "3000", maxQueryTime, 503),
		Entry("a count of a client with a short wait", "GET", "/a/", "500", 350*time.Millisecond, 503),
	)

	It("does not submit a job after the request's deadline", func() {
		b := newFixture()
		b.owners.fence = func(ctx context.Context, r *protocol.FenceRequest) (bool, error) {
			if r.Shard == 4 {
				b.clock.Advance(maxSubmitTime)
				<-ctx.Done()
			}
			return false, nil
		}
		Expect(b.do(request("POST", "/b/"+jobID, oneStep)).Code).To(Equal(503))
		Expect(b.owners.calls()).To(Equal([]string{"fence 3", "fence 4"}))
	})
})

// awaitPolling advances the fake clock by confirmPollInterval until the response arrives.
func (b *fixture) awaitPolling(answered <-chan *httptest.ResponseRecorder) *httptest.ResponseRecorder {
	GinkgoHelper()
	var w *httptest.ResponseRecorder
	Eventually(func() bool {
		b.clock.Advance(confirmPollInterval)
		select {
		case w = <-answered:
			return true
		default:
			return false
		}
	}).WithPolling(time.Millisecond).Should(BeTrue())
	return w
}
