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

var _ = Describe("a frontend, for a queue that has moved to another service,", func() {
	DescribeTable("fences the job's ID at the earlier shards before it submits the job",
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
		Entry("no shard has the job", nil, protocol.ShardID(0), failure.None, 200, "fence 3", "fence 4", "submit 2"),
		Entry("the first earlier shard has the job", map[protocol.ShardID]bool{3: true}, protocol.ShardID(0), failure.None, 200, "fence 3"),
		Entry("the last earlier shard has the job", map[protocol.ShardID]bool{4: true}, protocol.ShardID(0), failure.None, 200, "fence 3", "fence 4"),
		Entry("an earlier shard is unreachable", nil, protocol.ShardID(4), failure.Unavailable, 503, "fence 3", "fence 4"),
		Entry("an earlier shard does not respond, so no shard has accepted the job", nil, protocol.ShardID(3), failure.UnknownOutcome, 503, "fence 3"),
	)

	DescribeTable("queries one shard after the other until one has the job",
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
		Entry("the present shard has the job", "GET", nil, 200, "status 2"),
		Entry("an earlier shard has the job", "GET", map[protocol.ShardID]failure.Kind{2: failure.Gone, 3: failure.Gone}, 200,
			"status 2", "status 3", "status 4"),
		Entry("no shard has the job", "GET", map[protocol.ShardID]failure.Kind{2: failure.Gone, 3: failure.Gone, 4: failure.Gone}, 410,
			"status 2", "status 3", "status 4"),
		Entry("a shard is unavailable and no other has the job", "GET", map[protocol.ShardID]failure.Kind{2: failure.Gone, 3: failure.NotLeader, 4: failure.Gone}, 503,
			"status 2", "status 3", "status 4"),
		Entry("a shard is unavailable and another has the job", "GET", map[protocol.ShardID]failure.Kind{2: failure.Unavailable}, 200,
			"status 2", "status 3"),
		Entry("an earlier shard has the job to cancel", "DELETE", map[protocol.ShardID]failure.Kind{2: failure.Gone}, 200,
			"cancel 2", "cancel 3"),
		Entry("no shard has the job to cancel", "DELETE", map[protocol.ShardID]failure.Kind{2: failure.Gone, 3: failure.Gone, 4: failure.Gone}, 410,
			"cancel 2", "cancel 3", "cancel 4", "fence 2", "fence 3", "fence 4", "fence 1"),
		Entry("the outcome of a cancellation at one shard is unknown", "DELETE", map[protocol.ShardID]failure.Kind{2: failure.Unavailable, 3: failure.UnknownOutcome, 4: failure.Gone}, 504,
			"cancel 2", "cancel 3", "cancel 4"),
	)

	It("does not respond 410 if a shard was not queried in time", func() {
		b := newFixture()
		b.owners.status = func(ctx context.Context, r *protocol.StatusRequest) (string, error) {
			b.clock.Advance(maxQueryTime)
			<-ctx.Done()
			return "", kind(failure.Gone)
		}
		Expect(b.do(request("GET", "/b/"+jobID, "")).Code).To(Equal(503))
		Expect(b.owners.calls()).To(Equal([]string{"status 2"}))
	})

	It("adds up the counts of all shards", func() {
		b := newFixture()
		Expect(b.do(request("GET", "/b/", "")).Body.String()).To(MatchJSON(`{"pending":12}`))
		Expect(b.do(request("GET", "/a/", "")).Body.String()).To(MatchJSON(`{"pending":4}`))
		b.owners.pending = func(context.Context, *protocol.PendingRequest) (int, error) { return 0, kind(failure.UnknownOutcome) }
		Expect(b.do(request("GET", "/a/", "")).Code).To(Equal(503))
	})
})

var _ = Describe("a frontend whose configuration may be out of date", func() {
	DescribeTable("submits a rejected job again by a newer version",
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
		Entry("after the error Stale", failure.Stale),
		Entry("after the error Moved", failure.Moved),
	)

	It("responds 404 to a submission if the newer version does not have the queue", func() {
		b := newFixture()
		b.owners.submit = func(context.Context, *protocol.SubmitRequest) error { return kind(failure.Stale) }
		b.directory.onRefresh = func() { b.views.Set(view(9, map[string]*Route{"/c/": route("/c/", 4)})) }
		Expect(b.do(request("POST", "/a/"+jobID, oneStep)).Code).To(Equal(404))
	})

	It("calls the owner again after staleRetryInterval, as the owner may have the older version", func() {
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

	It("responds 503 to a rejected submission if no newer version arrives in time", func() {
		b := newFixture()
		b.owners.submit = func(context.Context, *protocol.SubmitRequest) error { return kind(failure.Stale) }
		r := request("POST", "/a/"+jobID, oneStep)
		r.Header.Set(DeadlineHeader, "200") // the request's time is over before another attempt is due
		answered := b.serve(r)
		Eventually(b.owners.calls).Should(HaveLen(1))
		b.awaitTimers(2)
		b.clock.Advance(budget(200*time.Millisecond, 0, maxSubmitTime))
		var w *httptest.ResponseRecorder
		Eventually(answered).Should(Receive(&w))
		Expect(w.Code).To(Equal(503))
		Expect(b.directory.refreshes).To(Equal(1))
	})

	DescribeTable("waits for a confirmation if a version that it doesn't have could make the response wrong",
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
		Entry("a submission to an unknown queue", "POST", "/z/"+jobID, oneStep, 1900*time.Millisecond, 404, 503),
		Entry("a state of an unknown job", "GET", "/a/"+jobID, "", 1900*time.Millisecond, 410, 503),
		Entry("a state of an unknown job, with a confirmation from just before the request", "GET", "/a/"+jobID, "", time.Millisecond, 410, 503),
		Entry("a cancellation of an unknown job, with a confirmation from just before the request", "DELETE", "/a/"+jobID, "", time.Millisecond, 410, 503),
		Entry("a path below a queue that is no job", "GET", "/a/x/"+jobID, "", 1900*time.Millisecond, 404, 503),
		Entry("a job's ID that is too short", "GET", "/a/5c0e", "", 1900*time.Millisecond, 400, 503),
		Entry("a body above the limit", "POST", "/a/"+jobID, `{"spec":"`+strings.Repeat("x", 1000)+`"}`, 1900*time.Millisecond, 413, 503),
		Entry("a count", "GET", "/a/", "", 1900*time.Millisecond, 200, 503),
		Entry("a submission with a confirmation a little older than maxAgeNormal", "POST", "/a/"+jobID, oneStep, 2500*time.Millisecond, 200, 200),
		Entry("a submission with a confirmation older than maxAgeSubmit", "POST", "/a/"+jobID, oneStep, 6*time.Second, 200, 503),
	)

	DescribeTable("responds by the newer version that arrives with a confirmation",
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
		Entry("a body that only the newer version allows, for which the response asks for a retry", "POST", "/a/"+jobID,
			`{"spec":"`+strings.Repeat("x", 1000)+`","steps":[{"count":1}]}`, 503),
	)

	It("requests a confirmation again while the newest one is of a time before the request arrived", func() {
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

	It("does not replace its view by an older one", func() {
		views := NewViews()
		Expect(views.Set(view(7, nil))).To(BeTrue())
		Expect(views.Set(view(5, nil))).To(BeFalse())
		Expect(views.Set(view(7, nil))).To(BeFalse())
		Expect(views.Current().Version).To(Equal(uint64(7)))
	})
})

var _ = Describe("the time limit of a request", func() {
	DescribeTable("ends the request in time if no owner responds",
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
		Entry("a submission of a client that waits a short time", "POST", "/a/"+jobID, "700", 550*time.Millisecond, 504),
		Entry("a query of a state", "GET", "/a/"+jobID, "3000", maxQueryTime, 503),
		Entry("a query of a count by a client that waits a short time", "GET", "/a/", "500", 350*time.Millisecond, 503),
	)

	It("keeps a job from being submitted after it", func() {
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

// awaitPolling advances the fake clock in steps of confirmPollInterval until the response arrives, and returns it.
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
