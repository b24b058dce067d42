package frontend

import (
	"context"
	"io"
	"net/http"
	"strings"
	"testing/iotest"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"ospreypond/internal/cluster/failure"
	"ospreypond/internal/cluster/protocol"
)

var _ = Describe("a frontend", func() {
	DescribeTable("validates a request before it calls an owner",
		func(method, path, body string, status int) {
			b := newFixture()
			w := b.do(request(method, path, body))
			Expect(w.Code).To(Equal(status))
			if status != http.StatusOK {
				Expect(w.Body.String()).To(ContainSubstring(`"error":`))
				Expect(b.owners.calls()).To(BeEmpty())
			}
		},
		Entry("a valid job", "POST", "/a/"+jobID, oneStep, 200),
		Entry("a submission to an unknown queue", "POST", "/z/"+jobID, oneStep, 404),
		Entry("a count of an unknown queue", "GET", "/z/", "", 404),
		Entry("a job's ID that is too short", "POST", "/a/5c0e", oneStep, 400),
		Entry("a job's ID that is not hexadecimal", "GET", "/a/5c0e7a21d94b36fg", "", 400),
		Entry("a path below a job", "GET", "/a/"+jobID+"/steps", "", 404),
		Entry("another method", "PUT", "/a/"+jobID, oneStep, 405),
		Entry("a submission without an ID", "POST", "/a/", oneStep, 405),
		Entry("a body that is not JSON", "POST", "/a/"+jobID, `{"spec":`, 400),
		Entry("a field of another type", "POST", "/a/"+jobID, `{"spec":5,"steps":[{"count":1}]}`, 400),
		Entry("text after the job", "POST", "/a/"+jobID, oneStep+"}", 400),
		Entry("a job without steps", "POST", "/a/"+jobID, `{"spec":"x"}`, 400),
		Entry("a step without tasks", "POST", "/a/"+jobID, `{"steps":[{"cpu":1}]}`, 400),
		Entry("a negative resource", "POST", "/a/"+jobID, `{"steps":[{"count":1,"cpu":-1}]}`, 400),
		Entry("a step that depends on itself", "POST", "/a/"+jobID, `{"steps":[{"count":1,"dependsOn":[0]}]}`, 400),
		Entry("a step that depends on a negative index", "POST", "/a/"+jobID, `{"steps":[{"count":1},{"count":1,"dependsOn":[-1]}]}`, 400),
		Entry("a negative number of repetitions", "POST", "/a/"+jobID, `{"repetitions":-1,"steps":[{"count":1}]}`, 400),
		Entry("a body above the limit", "POST", "/a/"+jobID, `{"spec":"`+strings.Repeat("x", 1000)+`","steps":[{"count":1}]}`, 413),
	)

	It("rejects a body of unknown length above the limit", func() {
		r := request("POST", "/a/"+jobID, `{"spec":"`+strings.Repeat("x", 1000)+`"}`)
		r.ContentLength = -1
		Expect(newFixture().do(r).Code).To(Equal(413))
	})

	It("responds 503 if a body does not arrive completely", func() {
		r := request("POST", "/a/"+jobID, "")
		r.Body = io.NopCloser(io.MultiReader(strings.NewReader(`{"spec":`), iotest.ErrReader(io.ErrUnexpectedEOF)))
		r.ContentLength = int64(len(oneStep))
		b := newFixture()
		Expect(b.do(r).Code).To(Equal(503))
		Expect(b.owners.calls()).To(BeEmpty())
	})

	It("rejects a job with a spec longer than maxSpecBytes", func() {
		spec := &protocol.JobSpec{Spec: strings.Repeat("x", maxSpecBytes+1), Steps: []protocol.Step{{Count: 1}}}
		Expect(failure.KindOf(checkSpec(spec))).To(Equal(failure.Invalid))
	})

	It("responds 503 before it has a configuration", func() {
		b := newFixture()
		b.service.Views = NewViews()
		w := b.do(request("POST", "/a/"+jobID, oneStep))
		Expect(w.Code).To(Equal(503))
		Expect(w.Header().Get("Retry-After")).To(Equal("1"))
	})

	DescribeTable("responds to a submission by the owner's result",
		func(err error, status int, retry string) {
			b := newFixture()
			b.owners.submit = func(context.Context, *protocol.SubmitRequest) error { return err }
			w := b.do(request("POST", "/a/"+jobID, oneStep))
			Expect(w.Code).To(Equal(status))
			Expect(w.Header().Get("Retry-After")).To(Equal(retry))
			Expect(w.Header().Get("Content-Type")).To(Equal("application/json"))
		},
		Entry("accepted", nil, 200, ""),
		Entry("overloaded", kind(failure.Overloaded), 429, "1"),
		Entry("unavailable", kind(failure.Unavailable), 503, "1"),
		Entry("not the leader", kind(failure.NotLeader), 503, "1"),
		Entry("unknown outcome", kind(failure.UnknownOutcome), 504, ""),
		Entry("an error without a kind, which is an unknown outcome", context.DeadlineExceeded, 504, ""),
		Entry("invalid", kind(failure.Invalid), 400, ""),
	)

	It("sends the owner what the configuration says about the queue", func() {
		b := newFixture()
		var got *protocol.SubmitRequest
		b.owners.submit = func(_ context.Context, r *protocol.SubmitRequest) error {
			got = r
			return nil
		}
		Expect(b.do(request("POST", "/a/"+jobID, oneStep)).Body.String()).To(Equal("{}"))
		Expect(got.ID).To(Equal(jobID))
		Expect(got.ConfigurationVersion).To(Equal(uint64(7)))
		Expect(got.Queue).To(Equal(route("/a/").Queue))
		Expect(got.Job.Steps).To(Equal([]protocol.Step{{Count: 2, CPU: 500}}))
	})

	DescribeTable("responds to a query or a cancellation by the owner's result",
		func(method string, err error, status int) {
			b := newFixture()
			b.owners.status = func(context.Context, *protocol.StatusRequest) (string, error) { return "completed", err }
			b.owners.cancel = func(context.Context, *protocol.CancelRequest) error { return err }
			w := b.do(request(method, "/a/"+jobID, ""))
			Expect(w.Code).To(Equal(status))
			if method == "GET" && err == nil {
				Expect(w.Body.String()).To(MatchJSON(`{"state":"completed"}`))
			}
		},
		Entry("a state", "GET", nil, 200),
		Entry("a state of an unknown job", "GET", kind(failure.Gone), 410),
		Entry("a state if no owner is found", "GET", kind(failure.NotLeader), 503),
		Entry("a state if the owner doesn't respond", "GET", kind(failure.UnknownOutcome), 503),
		Entry("a cancellation", "DELETE", nil, 200),
		Entry("a cancellation of an unknown job", "DELETE", kind(failure.Gone), 410),
		Entry("a cancellation if the owner is unavailable", "DELETE", kind(failure.Unavailable), 503),
		Entry("a cancellation of unknown outcome", "DELETE", kind(failure.UnknownOutcome), 504),
	)

	It("makes each response the last of its connection while it drains", func() {
		b := newFixture()
		Expect(b.do(request("GET", "/a/", "")).Header().Get("Connection")).To(BeEmpty())
		b.service.Drain()
		Expect(b.do(request("GET", "/a/", "")).Header().Get("Connection")).To(Equal("close"))
	})
})

var _ = Describe("the time for a request", func() {
	DescribeTable("is the least of the limits, less responseMargin for those of the client and the route",
		func(wait, timeout, limit, want time.Duration) {
			Expect(budget(wait, timeout, limit)).To(Equal(want))
		},
		Entry("the limit of the kind of request", 9*time.Second, 9*time.Second, maxSubmitTime, maxSubmitTime),
		Entry("the client's wait", time.Second, 3*time.Second, maxSubmitTime, 850*time.Millisecond),
		Entry("the route's timeout", 3*time.Second, 800*time.Millisecond, maxSubmitTime, 650*time.Millisecond),
		Entry("the limit, if client and route set none", time.Duration(0), time.Duration(0), maxSubmitTime, maxSubmitTime),
		Entry("minRequestTime, if the client waits less", 10*time.Millisecond, 3*time.Second, maxSubmitTime, minRequestTime),
	)

	DescribeTable("takes the client's wait from the header",
		func(value string, want time.Duration) {
			r := request("GET", "/a/", "")
			r.Header.Set(DeadlineHeader, value)
			Expect(clientWait(r)).To(Equal(want))
		},
		Entry("a number", "1500", 1500*time.Millisecond),
		Entry("a word, which counts as unknown", "soon", time.Duration(0)),
		Entry("a negative number, which counts as unknown", "-5", time.Duration(0)),
		Entry("a number that is too large, which counts as unknown", "99999999999999", time.Duration(0)),
	)
})
