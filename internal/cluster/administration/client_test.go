package administration_test

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"ospreypond/internal/cluster/administration"
	"ospreypond/internal/cluster/failure"
	"ospreypond/internal/cluster/protocol"
)

var _ = DescribeTable("a client is not created with", func(message string, addresses ...string) {
	_, err := administration.Dial(addresses)
	Expect(err).To(MatchError(ContainSubstring(message)))
},
	Entry("no address", "no address"),
	Entry("an address without a port", `"10.0.0.1" is no address`, "10.0.0.1"),
	Entry("an address without a host", `":7380" is no address`, ":7380"),
	Entry("a second address with an empty port", `"10.0.0.1:" is no address`, "10.0.0.1:1", "10.0.0.1:"),
)

const id = "5c0e7a21d94b36f8"

var _ = Describe("submitting a job", func() {
	spec := &protocol.JobSpec{Spec: "x", Steps: []protocol.Step{{Count: 1}}}
	service, other := servicesOfTwoShards()

	It("sends it to the shard of the queue's service, with all settings of the route", func() {
		f := newFakeControl()
		f.respond = func(request any) (any, error) {
			if _, ok := request.(protocol.WatchRequest); ok {
				return watchResponse(configurationWith(5, service)), nil
			}
			return &protocol.SubmitResponse{AlreadyKnown: true}, nil
		}
		Expect(dial(f.address).Submit(within(callTimeout), "h/p", id, spec)).To(Succeed())
		Expect(requestsOf[protocol.SubmitRequest](f)).To(ConsistOf(protocol.SubmitRequest{
			Shard: protocol.ShardOf(service),
			ID:    id,
			Queue: protocol.Queue{Key: "h/p/", Service: service, Priority: 1, MaxAttempts: 3, Extension: 2, TargetLatencyMs: 7},
			Job:   *spec, ConfigurationVersion: 5,
		}))
	})

	DescribeTable("first queries the shard of the queue's earlier service,", func(has bool, submits int) {
		f := newFakeControl()
		f.respond = func(request any) (any, error) {
			switch request.(type) {
			case protocol.WatchRequest:
				return watchResponse(configurationWith(5, other), configurationWith(6, service)), nil
			case protocol.FenceRequest:
				return &protocol.FenceResponse{HasJob: has}, nil
			}
			return &protocol.SubmitResponse{}, nil
		}
		Expect(dial(f.address).Submit(within(callTimeout), "h/p/", id, spec)).To(Succeed())
		Expect(requestsOf[protocol.FenceRequest](f)).To(ConsistOf(
			protocol.FenceRequest{Shard: protocol.ShardOf(other), ID: id, ConfigurationVersion: 6}))
		Expect(requestsOf[protocol.SubmitRequest](f)).To(HaveLen(submits))
	},
		Entry("which has the job", true, 0),
		Entry("which will never accept the job", false, 1),
	)

	DescribeTable("fails with a reason and advice", func(watch *protocol.WatchResponse, kind failure.Kind, message string) {
		f := newFakeControl()
		f.respond = func(any) (any, error) { return watch, nil }
		err := dial(f.address).Submit(within(callTimeout), "h/q", id, spec)
		Expect(failure.KindOf(err)).To(Equal(kind))
		Expect(err).To(MatchError(ContainSubstring(message)))
		Expect(administration.Advice(err)).NotTo(BeEmpty())
	},
		Entry("if there is no configuration", &protocol.WatchResponse{}, failure.Unavailable, "there is no configuration yet"),
		Entry("if there is no such queue", watchResponse(configurationWith(5, service)), failure.NoRoute, `there is no queue "h/q"; there are ["h/p/"]`),
	)
})

var _ = DescribeTable("a job that is not accepted at the first attempt",
	func(outcomes []error, kind failure.Kind, minSubmits int) {
		f := newFakeControl()
		f.respond = func(request any) (any, error) {
			if _, ok := request.(protocol.WatchRequest); ok {
				return watchResponse(configurationWith(5, "s")), nil
			}
			next := outcomes[0]
			if len(outcomes) > 1 {
				outcomes = outcomes[1:]
			}
			return &protocol.SubmitResponse{}, next
		}
		spec := &protocol.JobSpec{Steps: []protocol.Step{{Count: 1}}}
		err := dial(f.address).Submit(within(callTimeout), "h/p", id, spec)
		Expect(failure.KindOf(err)).To(Equal(kind), "%v", err)
		Expect(len(requestsOf[protocol.SubmitRequest](f))).To(BeNumerically(">=", minSubmits))
	},
	Entry("is rejected by a full shard", []error{failure.New(failure.Overloaded, "full")}, failure.Overloaded, 1),
	Entry("is rejected as invalid", []error{failure.New(failure.Invalid, "no")}, failure.Invalid, 1),
	Entry("is accepted at a later attempt", []error{failure.New(failure.Unavailable, "later"), nil}, failure.None, 2),
	Entry("is accepted when there is an owner", []error{failure.New(failure.NotLeader, "not me"), nil}, failure.None, 2),
	Entry("is accepted if a later attempt than that of unknown outcome is", []error{failure.New(failure.UnknownOutcome, "connection lost"), nil}, failure.None, 2),
	Entry("has an unknown outcome even if a later attempt is rejected", []error{failure.New(failure.UnknownOutcome, "connection lost"), failure.New(failure.Overloaded, "full")},
		failure.UnknownOutcome, 2),
)

var _ = Describe("a job that was submitted", func() {
	// jobIn returns a respond function of a fake that has the job in one shard only.
	jobIn := func(shard protocol.ShardID) func(any) (any, error) {
		return func(request any) (any, error) {
			switch request := request.(type) {
			case protocol.StatusRequest:
				if request.Shard == shard {
					return &protocol.StatusResponse{State: protocol.JobRunning}, nil
				}
			case protocol.CancelRequest:
				return &protocol.CancelResponse{}, nil
			}
			return nil, failure.New(failure.Gone, "no such job")
		}
	}

	It("is found in whichever shard has it", func() {
		f := newFakeControl()
		f.respond = jobIn(3)
		Expect(dial(f.address).Status(within(callTimeout), id)).To(Equal(protocol.JobRunning))
	})

	It("is Gone only if no shard has it", func() {
		f := newFakeControl()
		f.respond = jobIn(9)
		_, err := dial(f.address).Status(within(callTimeout), id)
		Expect(failure.KindOf(err)).To(Equal(failure.Gone))
		Expect(f.requests()).To(HaveLen(protocol.JobShards))
	})

	It("is not Gone while a shard doesn't answer", func() {
		f := newFakeControl()
		f.respond = func(request any) (any, error) {
			if request.(protocol.StatusRequest).Shard == 2 {
				return nil, failure.New(failure.Unavailable, "no quorum")
			}
			return nil, failure.New(failure.Gone, "no such job")
		}
		_, err := dial(f.address).Status(within(time.Second), id)
		Expect(failure.KindOf(err)).To(Equal(failure.Unavailable))
	})

	It("is never accepted after an operator's cancel found it in no shard", func() {
		f := newFakeControl()
		f.respond = func(request any) (any, error) {
			if _, isFence := request.(protocol.FenceRequest); isFence {
				return &protocol.FenceResponse{}, nil
			}
			return nil, failure.New(failure.Gone, "no such job")
		}
		Expect(failure.KindOf(dial(f.address).Cancel(within(callTimeout), id))).To(Equal(failure.Gone))
		for shard := protocol.ShardID(1); shard <= protocol.JobShards; shard++ {
			Expect(f.requests()).To(ContainElement(protocol.FenceRequest{Shard: shard, ID: id, ConfigurationVersion: protocol.EveryVersion}))
		}
	})

	It("is cancelled in the shard that accepts it while an operator cancels it", func() {
		f := newFakeControl()
		f.respond = func(request any) (any, error) {
			switch request := request.(type) {
			case protocol.FenceRequest:
				return &protocol.FenceResponse{HasJob: request.Shard == 3}, nil
			case protocol.CancelRequest:
				return &protocol.CancelResponse{}, nil
			}
			return nil, failure.New(failure.Gone, "no such job")
		}
		Expect(dial(f.address).Cancel(within(callTimeout), id)).To(Succeed())
		Expect(f.requests()).To(ContainElement(protocol.CancelRequest{Shard: 3, ID: id}))
	})

	It("is cancelled only in the shard that has it", func() {
		f := newFakeControl()
		f.respond = jobIn(2)
		Expect(dial(f.address).Cancel(within(callTimeout), id)).To(Succeed())
		Expect(f.requests()).To(ContainElement(protocol.CancelRequest{Shard: 2, ID: id}))
		Expect(f.requests()).NotTo(ContainElement(protocol.CancelRequest{Shard: 1, ID: id}))
	})
})

var _ = Describe("a list", func() {
	It("of jobs is read page by page", func() {
		f := newFakeControl()
		f.respond = func(request any) (any, error) {
			page := request.(administration.JobsRequest)
			if page.Shard != 2 {
				return &administration.JobsResponse{}, nil
			}
			if page.After == "" {
				return &administration.JobsResponse{Jobs: []administration.Job{{ID: "a"}, {ID: "b"}}, More: true}, nil
			}
			return &administration.JobsResponse{Jobs: []administration.Job{{ID: page.After + "c"}}}, nil
		}
		jobs, err := dial(f.address).Jobs(within(callTimeout), "")
		Expect(err).NotTo(HaveOccurred())
		Expect(jobs).To(Equal([]administration.Job{{ID: "a"}, {ID: "b"}, {ID: "bc"}}))
	})

	It("of jobs fails for a queue without route and jobs, but not for one that has jobs from before its route was removed", func() {
		f := newFakeControl()
		var has []administration.Job
		f.respond = func(request any) (any, error) {
			if _, ok := request.(protocol.WatchRequest); ok {
				return watchResponse(configurationWith(5, "s")), nil
			}
			return &administration.JobsResponse{Jobs: has}, nil
		}
		client := dial(f.address)
		_, err := client.Jobs(within(callTimeout), "h/old")
		Expect(failure.KindOf(err)).To(Equal(failure.NoRoute))
		has = []administration.Job{{ID: "a"}}
		Expect(client.Jobs(within(callTimeout), "h/old")).To(HaveLen(protocol.JobShards))
		Expect(f.requests()).To(ContainElement(administration.JobsRequest{Shard: 1, Queue: "h/old"}))
		Expect(client.Jobs(within(callTimeout), "h/p")).To(HaveLen(protocol.JobShards))
		Expect(f.requests()).To(ContainElement(administration.JobsRequest{Shard: 1, Queue: "h/p/"}))
	})

	It("of runners is read from all shards and sorted by service", func() {
		f := newFakeControl()
		f.respond = func(request any) (any, error) {
			shard := request.(administration.RunnersRequest).Shard
			return &administration.RunnersResponse{Runners: []administration.Runner{{Shard: shard, Service: fmt.Sprint("s", 9-shard)}}}, nil
		}
		runners, err := dial(f.address).Runners(within(callTimeout))
		Expect(err).NotTo(HaveOccurred())
		Expect(runners).To(HaveLen(protocol.JobShards))
		Expect(runners[0].Shard).To(Equal(protocol.ShardID(4)))
	})
})
