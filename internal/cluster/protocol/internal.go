package protocol

import "hash/fnv"

// ShardID names a shard, and the replica group that holds it.
type ShardID uint32

// ConfigurationShard holds the configuration.
const ConfigurationShard ShardID = 0

// JobShards is the number of shards of jobs; they are 1 to JobShards.
const JobShards = 4

// ShardOf returns the shard of a service's jobs and runners.
func ShardOf(service string) ShardID {
	hash := fnv.New32a()
	hash.Write([]byte(service))
	return ShardID(1 + hash.Sum32()%JobShards)
}

// HeartbeatRequest carries a runner's heartbeat from its agent to the owner of its service's shard.
type HeartbeatRequest struct {
	Shard     ShardID
	Heartbeat Heartbeat
}

// HeartbeatResponse has the orders for the runner.
type HeartbeatResponse struct{ Orders Orders }

// DeregisterRequest tells the owner that a runner ends by plan.
type DeregisterRequest struct {
	Shard    ShardID
	Service  string
	Instance string
}

// DeregisterResponse acknowledges it.
type DeregisterResponse struct{}

// SubmitRequest hands a job in. ConfigurationVersion is what the frontend picked the queue by.
type SubmitRequest struct {
	Shard                ShardID
	ID                   string
	Queue                Queue
	Job                  JobSpec
	ConfigurationVersion uint64
}

// SubmitResponse says that the job is committed (now or before).
type SubmitResponse struct{ AlreadyKnown bool }

// StatusRequest asks for a job's state.
type StatusRequest struct {
	Shard ShardID
	ID    string
}

// StatusResponse is a job's state; an unknown job is the error Gone.
type StatusResponse struct{ State string }

// CancelRequest cancels a job.
type CancelRequest struct {
	Shard ShardID
	ID    string
}

// CancelResponse says that the cancelling is committed; an unknown job is the error Gone.
type CancelResponse struct{}

// FenceRequest asks an earlier shard of a queue whether it has the job. If it has not, the shard commits that it
// will never take it from a hand-in that was picked by ConfigurationVersion or an older one, so that the queue's
// present shard may. The queue can come back to the shard with a newer version.
type FenceRequest struct {
	Shard                ShardID
	ID                   string
	ConfigurationVersion uint64 // what the frontend picked the queue by
}

// FenceResponse tells whether the shard has the job.
type FenceResponse struct{ HasJob bool }

// PendingRequest asks how many jobs of a queue have not ended.
type PendingRequest struct {
	Shard ShardID
	Queue string
}

// PendingResponse is that count.
type PendingResponse struct{ Pending int }

// WatchRequest asks the owner of the configuration for anything newer than Version. The answer comes at once if there
// is, else after Wait at the latest. BootID and Role tell who asks.
type WatchRequest struct {
	Version uint64 // 0: send a snapshot
	Owners  uint64 // the revision of owners that the caller has
	WaitMs  int64
	Node    string
	Changes bool // the caller can take changes from Version on (configuration.Advance) in place of a snapshot

	Compressed bool // the caller can take a large Configuration compressed

	OwnersOnly bool // the caller has no use for the configuration, and is not told when it changes

	Zone  string // of the caller
	Relay string // internal address at which the caller relays calls; empty: it does not
}

// Member is one control process.
type Member struct {
	ID      uint64
	Node    string
	Zone    string
	Address string // internal
}

// WatchResponse is the snapshot or what changed. The sender's leadership was confirmed after the request came.
type WatchResponse struct {
	Version       uint64 // newest version in force; 0: none yet
	Configuration []byte // as configuration.Advance reads it; empty if Version is what the caller has
	Compressed    bool   // it was compressed by package compress/flate
	OwnersAt      uint64 // revision of Members and Owners
	Members       []Member
	Owners        map[ShardID]string // internal address of each shard's owner as far as known
	Relays        []Relay            // some that the caller may use, the preferred ones first; empty: no news
	HeldMs        int64              // time between the request's coming and the asking for that confirmation, or less
}
