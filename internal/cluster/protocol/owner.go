package protocol

// The requests below go to the owner of the shard that they name, directly or through a relay. A process that isn't the
// owner answers with the error NotLeader.

// HeartbeatRequest carries a runner's heartbeat from its agent to the owner of its service's shard. Encoded by gob: the
// field names are the wire format.
type HeartbeatRequest struct {
	Shard     ShardID
	Heartbeat Heartbeat
}

// HeartbeatResponse has the orders for the runner. Encoded by gob.
type HeartbeatResponse struct{ Orders Orders }

// DeregisterRequest reports to the owner that a runner is about to end as planned. Encoded by gob.
type DeregisterRequest struct {
	Shard    ShardID
	Service  string
	Instance string // incarnation of the runner
}

// DeregisterResponse acknowledges a DeregisterRequest. Encoded by gob.
type DeregisterResponse struct{}

// SubmitRequest submits a job. Submitting it again is safe: a job is identified by its ID. Encoded by gob.
type SubmitRequest struct {
	Shard                ShardID
	ID                   string
	Queue                Queue
	Job                  JobSpec
	ConfigurationVersion uint64 // by which the frontend chose the queue
}

// SubmitResponse acknowledges that the job is committed, by this request or an earlier one. Encoded by gob.
type SubmitResponse struct {
	AlreadyKnown bool // an earlier request has submitted it
}

// StatusRequest asks for a job's state. Encoded by gob.
type StatusRequest struct {
	Shard ShardID
	ID    string
}

// StatusResponse has a job's state; for an unknown job the call fails with the error Gone. Encoded by gob.
type StatusResponse struct{ State JobState }

// CancelRequest cancels a job. Encoded by gob.
type CancelRequest struct {
	Shard ShardID
	ID    string
}

// CancelResponse acknowledges that the cancellation is committed; for an unknown job the call fails with the error Gone.
// Encoded by gob.
type CancelResponse struct{}

// FenceRequest asks an earlier shard of a queue whether it has the job. If it doesn't, the shard commits a promise never
// to accept the job from a submission whose queue was chosen by ConfigurationVersion or an older one, so that the
// queue's present shard may accept it. The queue can return to the shard with a newer version. Encoded by gob.
type FenceRequest struct {
	Shard                ShardID
	ID                   string
	ConfigurationVersion uint64 // by which the frontend chose the queue
}

// FenceResponse has the earlier shard's answer. Encoded by gob.
type FenceResponse struct {
	HasJob bool // the shard has the job and has made no promise
}

// PendingRequest asks how many jobs of a queue have not ended. Encoded by gob.
type PendingRequest struct {
	Shard ShardID
	Queue string // Queue.Key
}

// PendingResponse has that count, of the one shard that was asked. Encoded by gob.
type PendingResponse struct{ Pending int }
