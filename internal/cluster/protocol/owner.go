package protocol

import "math"

// Frontends and agents send the requests below to the owner of the shard that Shard names, directly or through a relay. A
// process that doesn't own the shard answers with the error NotLeader.

// HeartbeatRequest carries a runner's heartbeat from its agent to the owner of the shard of the runner's service. Encoded by
// gob: the field names are the wire format.
type HeartbeatRequest struct {
	Shard     ShardID
	Heartbeat Heartbeat
}

// HeartbeatResponse is the owner's response to a HeartbeatRequest, with the orders for the runner. Encoded by gob.
type HeartbeatResponse struct{ Orders Orders }

// DeregisterRequest tells the owner that a runner is about to end as planned. The runner's agent sends it. Encoded by gob.
type DeregisterRequest struct {
	Shard    ShardID
	Service  string // service of the runner; empty: the agent doesn't know it
	Instance string // Heartbeat.Instance of the runner
}

// DeregisterResponse is the owner's acknowledgement that the deregistration is committed. Encoded by gob.
type DeregisterResponse struct{}

// SubmitRequest submits a job. A frontend sends it. It may be sent again: a job is identified by its ID, and the shard
// accepts the job once. Encoded by gob.
type SubmitRequest struct {
	Shard                ShardID
	ID                   string // the job's ID: 16 hexadecimal digits, chosen by the client
	Queue                Queue
	Job                  JobSpec
	ConfigurationVersion uint64 // version of the configuration that the frontend used to choose the queue and its shard
}

// SubmitResponse is the owner's acknowledgement that the job is committed, by this request or an earlier one. Encoded by
// gob.
type SubmitResponse struct {
	AlreadyKnown bool // an earlier request has submitted the job
}

// StatusRequest asks for a job's state. A frontend sends it. Encoded by gob.
type StatusRequest struct {
	Shard ShardID
	ID    string // the job's ID
}

// StatusResponse is the owner's response with the job's state. For a job that the shard doesn't have, the call fails with
// the error Gone. Encoded by gob.
type StatusResponse struct{ State JobState }

// CancelRequest cancels a job. A frontend sends it. It may be sent again. Encoded by gob.
type CancelRequest struct {
	Shard ShardID
	ID    string // the job's ID
}

// CancelResponse is the owner's acknowledgement that the cancellation is committed. For a job that the shard doesn't
// have, the call fails with the error Gone. Encoded by gob.
type CancelResponse struct{}

// EveryVersion is the ConfigurationVersion of a FenceRequest that withdraws a job's ID: the fence covers the submissions of
// every version of the configuration. A frontend withdraws the ID at all shards before it answers the cancel of an unknown
// job.
const EveryVersion uint64 = math.MaxUint64

// FenceRequest fences a job's ID at a shard that had the job's queue earlier. A frontend sends it before it submits the
// job to the queue's current shard, so that two shards never accept the same job. The shard either answers that it has or
// had the job, or commits this promise: it never accepts the job from a submission whose ConfigurationVersion is at most
// the request's. The queue can return to the shard in a later version, and submissions by that version are
// accepted. Encoded by gob.
//
// With EveryVersion the promise has no exception: a submission that is still on its way fails with the error Gone. The shard
// keeps this promise for some minutes, which is longer than a submission can be on its way.
type FenceRequest struct {
	Shard                ShardID
	ID                   string // the job's ID
	ConfigurationVersion uint64 // version of the configuration that the frontend used to choose the queue, or EveryVersion
}

// FenceResponse is the earlier shard's answer. Encoded by gob.
type FenceResponse struct {
	HasJob bool // true: the shard has or had the job; false: the promise is committed
}

// PendingRequest asks for the number of a queue's jobs that have not ended. A frontend sends it. Encoded by gob.
type PendingRequest struct {
	Shard ShardID
	Queue string // Queue.Key
}

// PendingResponse is the owner's response: the number of such jobs in its shard. Encoded by gob.
type PendingResponse struct{ Pending int }
