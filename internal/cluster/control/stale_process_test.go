package control

import (
	"context"
	"fmt"
	"net/http/httptest"
	"reflect"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"ospreypond/internal/cluster/administration"
	"ospreypond/internal/cluster/failure"
	"ospreypond/internal/cluster/protocol"
)

// Names in the scenario.
const (
	testService  = "alfa"
	testRunner   = "i1"
	cancelledJob = "00000000000000c0" // cancelled before the fault
	runningJob   = "00000000000000a0" // submitted before the fault, cancelled during it
	laterJob     = "00000000000000b0" // submitted during the fault
	unknownJob   = "00000000000000f0"
)

func configureRequest(base, version uint64) *protocol.ConfigureRequest {
	body := fmt.Sprintf(`{"version":%d,"routes":[{"name":"r","host":"host","pathPrefix":"/queue/","timeoutMs":3000,"service":"%s"}],
		"services":[{"name":"%s"}]}`, version, testService, testService)
	return &protocol.ConfigureRequest{Kind: protocol.ConfigurationReplace, Base: base, Body: []byte(body)}
}

func submitRequest(id string, version uint64) *protocol.SubmitRequest {
	step := protocol.Step{Count: 1, CPU: 100, EstimatedMs: 500, LongRunning: true}
	return &protocol.SubmitRequest{
		Shard:                protocol.ShardOf(testService),
		ID:                   id,
		Queue:                protocol.Queue{Key: "host/queue/", Service: testService, MaxAttempts: 1},
		Job:                  protocol.JobSpec{Spec: "do", Steps: []protocol.Step{step}},
		ConfigurationVersion: version,
	}
}

// faultDuration is how long a fault has lasted when the process gets the requests.
const faultDuration = 2 * time.Second

// outcomesAfterFault injects a fault, changes the state by means of the other processes, sends the requests to the process
// with the fault, and ends its freeze. It returns the outcomes; nil for requests without a response.
func outcomesAfterFault(shard protocol.ShardID, what fault, requests []any) (answers []*outcome) {
	const responseWait = 1500 * time.Millisecond
	jobsOf := protocol.ShardOf(testService)
	synctest.Test(suite, func(*testing.T) {
		t := &trio{}
		stop := t.start()
		defer stop()
		t.must(protocol.ConfigurationShard, configureRequest(0, 3))
		t.must(jobsOf, submitRequest(cancelledJob, 3))
		t.must(jobsOf, &protocol.CancelRequest{Shard: jobsOf, ID: cancelledJob})
		t.must(jobsOf, submitRequest(runningJob, 3))

		thaw := t.inject(shard, what)
		time.Sleep(faultDuration)
		t.must(protocol.ConfigurationShard, configureRequest(3, 5))
		t.must(jobsOf, &protocol.CancelRequest{Shard: jobsOf, ID: runningJob})
		t.must(jobsOf, submitRequest(laterJob, 5))

		pending := make([]<-chan outcome, 0, len(requests))
		for _, request := range requests {
			pending = append(pending, handle(t.target, request))
		}
		thaw()
		time.Sleep(responseWait)
		for _, each := range pending {
			select {
			case answered := <-each:
				answers = append(answers, &answered)
			default:
				answers = append(answers, nil)
			}
		}
	})
	return answers
}

// maxResponseTime bounds the time to a response.
const maxResponseTime = 1200 * time.Millisecond

// requestCase is a request to a process that may be out of date, and its allowed outcomes.
type requestCase struct {
	name    string
	request any
	kinds   []failure.Kind
	check   func(response any)
}

// Kinds of outcomes: the first two say nothing about the state.
var (
	rejected           = []failure.Kind{failure.NotLeader, failure.Unavailable}
	rejectedOrUnknown  = []failure.Kind{failure.NotLeader, failure.Unavailable, failure.UnknownOutcome}
	served             = []failure.Kind{failure.None}
	testShard          = protocol.ShardOf(testService)
	jobCases           = newJobCases(testShard)
	configurationCases = newConfigurationCases()
	everyEndpoint      = append(slices.Clone(jobCases), configurationCases...)
	// notTested do what is requested, or answer for an index of the log, which stays true, or say nothing about the state.
	notTested = []any{&protocol.PingRequest{}, &administration.ResignRequest{}, &administration.DigestRequest{}}
)

func newJobCases(shard protocol.ShardID) []requestCase {
	heartbeat := protocol.Heartbeat{Instance: testRunner, Service: testService, Address: "10.0.0.9:1", State: protocol.RunnerReady, Sequence: 1}
	tokenOnly := protocol.Heartbeat{Instance: testRunner, Service: testService, FenceOnly: true}
	invalid := submitRequest(unknownJob, 3)
	invalid.Job.Steps = nil
	return []requestCase{
		{"a state that has changed since", &protocol.StatusRequest{Shard: shard, ID: runningJob}, rejected, nil},
		{"a job that was submitted since", &protocol.StatusRequest{Shard: shard, ID: laterJob}, rejected, nil},
		{"a state that a job never leaves", &protocol.StatusRequest{Shard: shard, ID: cancelledJob}, served, func(response any) {
			Expect(response).To(Equal(&protocol.StatusResponse{State: protocol.JobCancelled}))
		}},
		{"a count", &protocol.PendingRequest{Shard: shard, Queue: "host/queue/"}, rejected, nil},
		{"a submission", submitRequest(unknownJob, 3), rejectedOrUnknown, nil},
		{"a submission of a known job", submitRequest(runningJob, 3), served, func(response any) {
			Expect(response).To(Equal(&protocol.SubmitResponse{AlreadyKnown: true}))
		}},
		{"an invalid submission", invalid, []failure.Kind{failure.Invalid}, nil},
		{"a cancel", &protocol.CancelRequest{Shard: shard, ID: runningJob}, rejectedOrUnknown, nil},
		{"a cancel of a job that was submitted since", &protocol.CancelRequest{Shard: shard, ID: laterJob}, rejectedOrUnknown, nil},
		{"a fence", &protocol.FenceRequest{Shard: shard, ID: laterJob, ConfigurationVersion: 5}, rejectedOrUnknown, nil},
		{"a fence of a known job", &protocol.FenceRequest{Shard: shard, ID: runningJob}, served, func(response any) {
			Expect(response).To(Equal(&protocol.FenceResponse{HasJob: true}))
		}},
		{"a heartbeat", &protocol.HeartbeatRequest{Shard: shard, Heartbeat: heartbeat}, rejected, nil},
		{"a request for the fencing token", &protocol.HeartbeatRequest{Shard: shard, Heartbeat: tokenOnly}, rejected, nil},
		{"a deregistration", &protocol.DeregisterRequest{Shard: shard, Instance: testRunner}, rejectedOrUnknown, nil},
		{"a backup of jobs", &administration.SnapshotRequest{Shard: shard}, rejected, nil},
		{"a list of jobs, for people", &administration.JobsRequest{Shard: shard}, served, func(any) {}},
		{"a list of runners, for people", &administration.RunnersRequest{Shard: shard}, served, func(any) {}},
	}
}

func newConfigurationCases() []requestCase {
	return []requestCase{
		{"the configuration", &protocol.ReadConfigurationRequest{}, rejected, nil},
		{"a watch for what is newer", &protocol.WatchRequest{Version: 2}, rejected, nil},
		{"a watch for what is newer than the newest", &protocol.WatchRequest{Version: 5}, rejected, nil},
		{"a change based on the version that it remembers", configureRequest(3, 4), rejectedOrUnknown, nil},
		{"a change that was applied since", configureRequest(3, 5), rejectedOrUnknown, nil},
		{"a change based on the newest version", configureRequest(5, 7), rejectedOrUnknown, nil},
		{"an invalid change", configureRequest(3, 2), rejectedOrUnknown, nil},
		{"a backup of the configuration", &administration.SnapshotRequest{Shard: protocol.ConfigurationShard}, rejected, nil},
		{"a report, for people", &administration.ReportRequest{}, served, func(any) {}},
	}
}

var _ = Describe("a control process that may be out of date", func() {
	DescribeTable("answers each request at once, and with nothing that has changed since",
		func(shard protocol.ShardID, what fault, cases []requestCase) {
			requests := make([]any, 0, len(cases))
			for i := range cases {
				requests = append(requests, cases[i].request)
			}
			answers := outcomesAfterFault(shard, what, requests)
			for i, each := range cases {
				By(each.name)
				Expect(answers[i]).NotTo(BeNil(), "%s has a response", each.name)
				kinds := append([]failure.Kind{failure.NotLeader}, each.kinds...) // it may have stepped down
				Expect(failure.KindOf(answers[i].err)).To(BeElementOf(kinds), each.name)
				Expect(answers[i].took).To(BeNumerically("<", maxResponseTime), each.name)
				if answers[i].err == nil {
					each.check(answers[i].response)
				}
			}
		},
		Entry("an owner of jobs that thaws, partitioned", testShard, partitionedAndFrozen, jobCases),
		Entry("an owner of jobs that thaws", testShard, frozenOnly, jobCases),
		Entry("an owner of jobs, partitioned", testShard, partitionedOnly, jobCases),
		Entry("an owner of jobs, outbound messages lost", testShard, fault{outboundLost: true}, jobCases),
		Entry("an owner of jobs, inbound messages lost", testShard, fault{inboundLost: true}, jobCases),
		Entry("an owner of jobs that thaws, outbound messages lost", testShard, fault{frozen: true, outboundLost: true}, jobCases),
		Entry("an owner of jobs that thaws, inbound messages lost", testShard, fault{frozen: true, inboundLost: true}, jobCases),
		Entry("a follower, partitioned", testShard, fault{outboundLost: true, inboundLost: true, follower: true}, jobCases),
		Entry("the configuration's owner that thaws, partitioned", protocol.ConfigurationShard, partitionedAndFrozen, configurationCases),
		Entry("the configuration's owner that thaws", protocol.ConfigurationShard, frozenOnly, configurationCases),
		Entry("the configuration's owner, partitioned", protocol.ConfigurationShard, partitionedOnly, configurationCases),
		Entry("the configuration's owner, outbound messages lost", protocol.ConfigurationShard, fault{outboundLost: true}, configurationCases),
		Entry("the configuration's owner, inbound messages lost", protocol.ConfigurationShard, fault{inboundLost: true}, configurationCases),
		Entry("a follower of the configuration's shard, partitioned", protocol.ConfigurationShard,
			fault{outboundLost: true, inboundLost: true, follower: true}, configurationCases),
	)

	It("still takes itself for the owner when it thaws, and answers what stays true", func() {
		requests := []any{&protocol.StatusRequest{Shard: testShard, ID: cancelledJob}}
		answers := outcomesAfterFault(testShard, partitionedAndFrozen, requests)
		Expect(answers[0].err).NotTo(HaveOccurred())
		Expect(answers[0].response).To(Equal(&protocol.StatusResponse{State: protocol.JobCancelled}))
	})

	It("is tested with every request that a control process serves", func() {
		var tested []string
		for _, each := range everyEndpoint {
			tested = append(tested, reflect.TypeOf(each.request).String())
		}
		for _, request := range notTested {
			tested = append(tested, reflect.TypeOf(request).String())
		}
		for _, served := range newDrivenControl().control.endpoints {
			Expect(tested).To(ContainElement(served.request.String()))
		}
	})

	DescribeTable("rejects the operator's requests within a second",
		func(what fault, method, path, base, body string, statuses ...int) {
			const second = time.Second
			response, took := operatorResponse(what, false, method, path, base, body)
			Expect(response.Code).To(BeElementOf(statuses), response.Body.String())
			Expect(took).To(BeNumerically("<", second))
		},
		Entry("a read", partitionedAndFrozen, "GET", readPath, "", "", 503),
		Entry("a change based on the version that it remembers", partitionedAndFrozen, "POST", replacePath, "3", string(configureRequest(3, 4).Body), 503, 504),
		Entry("a change that was applied since", partitionedAndFrozen, "POST", replacePath, "3", string(configureRequest(3, 5).Body), 503, 504),
		Entry("a change based on the newest version", partitionedAndFrozen, "POST", replacePath, "5", string(configureRequest(5, 7).Body), 503, 504),
		Entry("an invalid change", partitionedAndFrozen, "POST", replacePath, "3", string(configureRequest(3, 2).Body), 503, 504),
		Entry("a read, inbound messages lost", fault{inboundLost: true}, "GET", readPath, "", "", 503),
		Entry("a change, outbound messages lost", fault{outboundLost: true}, "POST", replacePath, "3", string(configureRequest(3, 4).Body), 503, 504),
		Entry("a change at a follower, partitioned", fault{outboundLost: true, inboundLost: true, follower: true}, "POST", replacePath, "3",
			string(configureRequest(3, 4).Body), 503, 504),
	)

	DescribeTable("serves the operator as any other process when the fault is over",
		func(what fault, method, path, base, body string, status int) {
			response, _ := operatorResponse(what, true, method, path, base, body)
			Expect(response.Code).To(Equal(status), response.Body.String())
		},
		Entry("a read", partitionedAndFrozen, "GET", readPath, "", "", 200),
		Entry("a change that was applied meanwhile", partitionedAndFrozen, "POST", replacePath, "3", string(configureRequest(3, 5).Body), 200),
		Entry("another change based on the same version", partitionedAndFrozen, "POST", replacePath, "3", string(configureRequest(3, 4).Body), 412),
		Entry("a change based on the newest version", partitionedAndFrozen, "POST", replacePath, "5", string(configureRequest(5, 7).Body), 200),
	)
})

// operatorResponse injects a fault at the configuration's owner, or a follower, changes the configuration by means of the
// other processes, ends the freeze and, if healed, the whole fault, and then sends an operator's request to that process.
// It returns the response and how long it took.
func operatorResponse(what fault, healed bool, method, path, base, body string) (*httptest.ResponseRecorder, time.Duration) {
	response := httptest.NewRecorder()
	var took time.Duration
	synctest.Test(suite, func(*testing.T) {
		t := &trio{}
		stop := t.start()
		defer stop()
		t.must(protocol.ConfigurationShard, configureRequest(0, 3))
		thaw := t.inject(protocol.ConfigurationShard, what)
		time.Sleep(faultDuration)
		t.must(protocol.ConfigurationShard, configureRequest(3, 5))
		thaw()
		if healed {
			t.heal()
			time.Sleep(faultDuration)
		}
		request := httptest.NewRequestWithContext(context.Background(), method, path, strings.NewReader(body))
		if base != "" {
			request.Header.Set(baseVersionHeader, base)
		}
		sentAt := time.Now()
		t.target.Operator().ServeHTTP(response, request)
		took = time.Since(sentAt)
	})
	return response, took
}

// Paths of the operator's HTTP interface.
const (
	readPath    = configurationPaths + "read"
	replacePath = configurationPaths + protocol.ConfigurationReplace
)
