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

// The tests of this file guard against a process that has lost its leadership without noticing, because it was frozen or
// partitioned, and then replies with state that is out of date.

// Names in the scenario of outcomesAfterFault.
const (
	testService  = "alfa"
	testRunner   = "i1"
	cancelledJob = "00000000000000c0" // submitted and cancelled before the fault
	runningJob   = "00000000000000a0" // submitted before the fault, cancelled during it
	laterJob     = "00000000000000b0" // submitted during the fault
	unknownJob   = "00000000000000f0" // not submitted before the requests
)

// configureRequest returns a change from version base of the configuration to a version with one queue.
func configureRequest(base, version uint64) *protocol.ConfigureRequest {
	body := fmt.Sprintf(`{"version":%d,"routes":[{"name":"r","host":"host","pathPrefix":"/queue/","timeoutMs":3000,"service":"%s"}],
		"services":[{"name":"%s"}]}`, version, testService, testService)
	return &protocol.ConfigureRequest{Kind: protocol.ConfigurationReplace, Base: base, Body: []byte(body)}
}

// submitRequest returns the submission of a job. The job's queue comes from this version of the configuration.
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

// faultDuration is the time from the start of a fault to the first change of the state during it, and from the end of a
// fault to the next request.
const faultDuration = 2 * time.Second

// outcomesAfterFault injects a fault, changes the state by requests to the other processes, sends the requests to the
// process with the fault, and then ends its freeze. It returns the outcomes in the order of the requests; nil if there is no
// reply.
func outcomesAfterFault(shard protocol.ShardID, injected fault, requests []any) (answers []*outcome) {
	const responseWait = 1500 * time.Millisecond
	jobsOf := protocol.ShardOf(testService)
	synctest.Test(suite, func(*testing.T) {
		t := &testCluster{}
		stop := t.start()
		defer stop()
		t.mustSucceed(protocol.ConfigurationShard, configureRequest(0, 3))
		t.mustSucceed(jobsOf, submitRequest(cancelledJob, 3))
		t.mustSucceed(jobsOf, &protocol.CancelRequest{Shard: jobsOf, ID: cancelledJob})
		t.mustSucceed(jobsOf, submitRequest(runningJob, 3))

		thaw := t.inject(shard, injected)
		time.Sleep(faultDuration)
		t.mustSucceed(protocol.ConfigurationShard, configureRequest(3, 5))
		t.mustSucceed(jobsOf, &protocol.CancelRequest{Shard: jobsOf, ID: runningJob})
		t.mustSucceed(jobsOf, submitRequest(laterJob, 5))

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

// maxResponseTime limits the time from a request to its reply, a freeze included.
const maxResponseTime = 1200 * time.Millisecond

// requestCase is a request to a process that may be out of date, with its allowed outcomes.
type requestCase struct {
	name    string
	request any
	kinds   []failure.Kind     // allowed kinds of the reply's error; failure.None is a response
	check   func(response any) // checks a response
}

// Allowed kinds of outcomes, and the cases. A reply with a kind in rejected or rejectedOrUnknown contains no information
// about the state.
var (
	rejected           = []failure.Kind{failure.NotLeader, failure.Unavailable}
	rejectedOrUnknown  = []failure.Kind{failure.NotLeader, failure.Unavailable, failure.UnknownOutcome}
	served             = []failure.Kind{failure.None}
	testShard          = protocol.ShardOf(testService)
	jobCases           = newJobCases(testShard)
	configurationCases = newConfigurationCases()
	everyEndpoint      = append(slices.Clone(jobCases), configurationCases...)
	// notTested has the requests with replies that can't be out of date: a ping returns no state, a resignation concerns
	// only this process, and a digest belongs to a fixed index of the log.
	notTested = []any{&protocol.PingRequest{}, &administration.ResignRequest{}, &administration.DigestRequest{}}
)

// newJobCases returns the cases of requests to a shard of jobs.
func newJobCases(shard protocol.ShardID) []requestCase {
	heartbeat := protocol.Heartbeat{Instance: testRunner, Service: testService, Address: "10.0.0.9:1", State: protocol.RunnerReady, Sequence: 1}
	tokenOnly := protocol.Heartbeat{Instance: testRunner, Service: testService, FenceOnly: true}
	invalid := submitRequest(unknownJob, 3)
	invalid.Job.Steps = nil
	return []requestCase{
		{"the state of a job that was cancelled during the fault", &protocol.StatusRequest{Shard: shard, ID: runningJob}, rejected, nil},
		{"the state of a job that was submitted during the fault", &protocol.StatusRequest{Shard: shard, ID: laterJob}, rejected, nil},
		{"the state of a job that ended before the fault, which is final", &protocol.StatusRequest{Shard: shard, ID: cancelledJob}, served, func(response any) {
			Expect(response).To(Equal(&protocol.StatusResponse{State: protocol.JobCancelled}))
		}},
		{"the number of unfinished jobs of a queue", &protocol.PendingRequest{Shard: shard, Queue: "host/queue/"}, rejected, nil},
		{"a submission of a new job", submitRequest(unknownJob, 3), rejectedOrUnknown, nil},
		{"a submission of a known job", submitRequest(runningJob, 3), served, func(response any) {
			Expect(response).To(Equal(&protocol.SubmitResponse{AlreadyKnown: true}))
		}},
		{"an invalid submission", invalid, []failure.Kind{failure.Invalid}, nil},
		{"a cancellation", &protocol.CancelRequest{Shard: shard, ID: runningJob}, rejectedOrUnknown, nil},
		{"a cancellation of a job that was submitted during the fault", &protocol.CancelRequest{Shard: shard, ID: laterJob}, rejectedOrUnknown, nil},
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

// newConfigurationCases returns the cases of requests to the configuration's shard.
func newConfigurationCases() []requestCase {
	return []requestCase{
		{"the configuration", &protocol.ReadConfigurationRequest{}, rejected, nil},
		{"a watch from an older version than that before the fault", &protocol.WatchRequest{Version: 2}, rejected, nil},
		{"a watch from the newest version", &protocol.WatchRequest{Version: 5}, rejected, nil},
		{"a change based on the version before the fault", configureRequest(3, 4), rejectedOrUnknown, nil},
		{"a change that was applied during the fault", configureRequest(3, 5), rejectedOrUnknown, nil},
		{"a change based on the newest version", configureRequest(5, 7), rejectedOrUnknown, nil},
		{"an invalid change", configureRequest(3, 2), rejectedOrUnknown, nil},
		{"a backup of the configuration", &administration.SnapshotRequest{Shard: protocol.ConfigurationShard}, rejected, nil},
		{"a report, for people", &administration.ReportRequest{}, served, func(any) {}},
	}
}

var _ = Describe("A control process that may be out of date", func() {
	DescribeTable("replies to each request in time, and never with state that is out of date, as",
		func(shard protocol.ShardID, injected fault, cases []requestCase) {
			requests := make([]any, 0, len(cases))
			for i := range cases {
				requests = append(requests, cases[i].request)
			}
			answers := outcomesAfterFault(shard, injected, requests)
			for i, each := range cases {
				By(each.name)
				Expect(answers[i]).NotTo(BeNil(), "%s has a response", each.name)
				kinds := append([]failure.Kind{failure.NotLeader}, each.kinds...) // the process may have become a follower
				Expect(failure.KindOf(answers[i].err)).To(BeElementOf(kinds), each.name)
				Expect(answers[i].took).To(BeNumerically("<", maxResponseTime), each.name)
				if answers[i].err == nil {
					each.check(answers[i].response)
				}
			}
		},
		Entry("an owner of jobs that was frozen and is partitioned", testShard, partitionedAndFrozen, jobCases),
		Entry("an owner of jobs that was frozen", testShard, frozenOnly, jobCases),
		Entry("an owner of jobs that is partitioned", testShard, partitionedOnly, jobCases),
		Entry("an owner of jobs whose outbound messages are lost", testShard, fault{outboundLost: true}, jobCases),
		Entry("an owner of jobs whose inbound messages are lost", testShard, fault{inboundLost: true}, jobCases),
		Entry("an owner of jobs that was frozen and whose outbound messages are lost", testShard, fault{frozen: true, outboundLost: true}, jobCases),
		Entry("an owner of jobs that was frozen and whose inbound messages are lost", testShard, fault{frozen: true, inboundLost: true}, jobCases),
		Entry("a follower that is partitioned", testShard, fault{outboundLost: true, inboundLost: true, follower: true}, jobCases),
		Entry("the configuration's owner that was frozen and is partitioned", protocol.ConfigurationShard, partitionedAndFrozen, configurationCases),
		Entry("the configuration's owner that was frozen", protocol.ConfigurationShard, frozenOnly, configurationCases),
		Entry("the configuration's owner that is partitioned", protocol.ConfigurationShard, partitionedOnly, configurationCases),
		Entry("the configuration's owner whose outbound messages are lost", protocol.ConfigurationShard, fault{outboundLost: true}, configurationCases),
		Entry("the configuration's owner whose inbound messages are lost", protocol.ConfigurationShard, fault{inboundLost: true}, configurationCases),
		Entry("a follower of the configuration's shard that is partitioned", protocol.ConfigurationShard,
			fault{outboundLost: true, inboundLost: true, follower: true}, configurationCases),
	)

	It("still takes itself for the owner after a freeze, and replies with the final state of a job", func() {
		requests := []any{&protocol.StatusRequest{Shard: testShard, ID: cancelledJob}}
		answers := outcomesAfterFault(testShard, partitionedAndFrozen, requests)
		Expect(answers[0].err).NotTo(HaveOccurred())
		Expect(answers[0].response).To(Equal(&protocol.StatusResponse{State: protocol.JobCancelled}))
	})

	It("is tested with every type of request that a control process serves", func() {
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

	DescribeTable("rejects a request of the operator within a second:",
		func(injected fault, method, path, base, body string, statuses ...int) {
			const second = time.Second
			response, took := operatorResponse(injected, false, method, path, base, body)
			Expect(response.Code).To(BeElementOf(statuses), response.Body.String())
			Expect(took).To(BeNumerically("<", second))
		},
		Entry("a read after a freeze, while partitioned", partitionedAndFrozen, "GET", readPath, "", "", 503),
		Entry("a change based on the version before the fault", partitionedAndFrozen, "POST", replacePath, "3", string(configureRequest(3, 4).Body), 503, 504),
		Entry("a change that was applied during the fault", partitionedAndFrozen, "POST", replacePath, "3", string(configureRequest(3, 5).Body), 503, 504),
		Entry("a change based on the newest version", partitionedAndFrozen, "POST", replacePath, "5", string(configureRequest(5, 7).Body), 503, 504),
		Entry("an invalid change", partitionedAndFrozen, "POST", replacePath, "3", string(configureRequest(3, 2).Body), 503, 504),
		Entry("a read, while inbound messages are lost", fault{inboundLost: true}, "GET", readPath, "", "", 503),
		Entry("a change, while outbound messages are lost", fault{outboundLost: true}, "POST", replacePath, "3", string(configureRequest(3, 4).Body), 503, 504),
		Entry("a change at a follower, while partitioned", fault{outboundLost: true, inboundLost: true, follower: true}, "POST", replacePath, "3",
			string(configureRequest(3, 4).Body), 503, 504),
	)

	DescribeTable("serves a request of the operator as any other process when the fault is over:",
		func(injected fault, method, path, base, body string, status int) {
			response, _ := operatorResponse(injected, true, method, path, base, body)
			Expect(response.Code).To(Equal(status), response.Body.String())
		},
		Entry("a read", partitionedAndFrozen, "GET", readPath, "", "", 200),
		Entry("a change that was applied during the fault, which is acknowledged again", partitionedAndFrozen, "POST", replacePath, "3", string(configureRequest(3, 5).Body), 200),
		Entry("another change based on the version before the fault, which is a conflict", partitionedAndFrozen, "POST", replacePath, "3", string(configureRequest(3, 4).Body), 412),
		Entry("a change based on the newest version", partitionedAndFrozen, "POST", replacePath, "5", string(configureRequest(5, 7).Body), 200),
	)
})

// operatorResponse injects a fault at the configuration's owner or at a follower, changes the configuration by requests to
// the other processes, and ends the freeze or, if healed is set, the complete fault. Then it sends an operator's request to
// the process with the fault. It returns the response and the time until it.
func operatorResponse(injected fault, healed bool, method, path, base, body string) (*httptest.ResponseRecorder, time.Duration) {
	response := httptest.NewRecorder()
	var took time.Duration
	synctest.Test(suite, func(*testing.T) {
		t := &testCluster{}
		stop := t.start()
		defer stop()
		t.mustSucceed(protocol.ConfigurationShard, configureRequest(0, 3))
		thaw := t.inject(protocol.ConfigurationShard, injected)
		time.Sleep(faultDuration)
		t.mustSucceed(protocol.ConfigurationShard, configureRequest(3, 5))
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
