// Package administration is what operators ask a running system from the command line: who its members are, how its
// shards stand, which runners and jobs there are, a backup. It has the messages, which control processes answer at
// their internal addresses, and the client that the commands use.
package administration

import "ospreypond/internal/cluster/protocol"

// ReportRequest asks a control process how it stands. Any process answers, from what it knows itself.
type ReportRequest struct{}

// Report is a control process's own view.
type Report struct {
	Node        string
	Zone        string
	Address     string // internal
	Identity    uint64 // drawn when its disk was empty
	UptimeMs    int64
	Draining    bool  // it gives its leaderships away and takes none
	DiskSick    bool  // writes fail or take too long
	LogBytes    int64 // of all segments on its disk
	Segments    int
	MemoryBytes uint64 // what the process holds of the system's memory
	Groups      []GroupReport
}

// GroupReport is a control process's view of one shard's replica group.
type GroupReport struct {
	Shard         protocol.ShardID
	Term          uint64
	Leader        uint64 // identity of the owner as known there; 0: none
	Owner         bool   // the process is the shard's owner, and decides
	Commit        uint64 // index
	Applied       uint64 // index
	Last          uint64 // index
	SnapshotIndex uint64
	LogBytes      int64 // of the entries after the snapshot
	Members       []MemberReport

	// Only from the owner.
	StateBytes           int
	ConfigurationVersion uint64 // of the configuration's shard
	Jobs                 JobCounts
	Counters             Counters
}

// MemberReport is one member of a group as a process knows it. What the owner alone knows is 0 elsewhere.
type MemberReport struct {
	protocol.Member
	Learner  bool
	Entries  uint64 // that the owner has no acknowledgement of
	SilentMs int64  // since the owner heard of it
}

// JobCounts is what a shard of jobs holds.
type JobCounts struct {
	Jobs    int `json:"jobs"`    // not ended
	Kept    int `json:"kept"`    // ended, state still kept
	Held    int `json:"held"`    // tasks whose turn has come
	Running int `json:"running"` // tasks of which a run may exist
	Runners int `json:"runners"`
}

// Counters count what became of a shard of jobs.
type Counters struct {
	// Since the shard began.
	Taken     uint64 `json:"taken"` // jobs
	Completed uint64 `json:"completed"`
	Failed    uint64 `json:"failed"`
	Cancelled uint64 `json:"cancelled"`
	Started   uint64 `json:"started"` // runs
	Lost      uint64 `json:"lost"`    // runs that came to no end

	// Since the owner's process started, while it owned the shard.
	Rounds    uint64 `json:"rounds"`  // of placement
	Stops     uint64 `json:"stops"`   // ordered
	Refused   uint64 `json:"refused"` // hand-ins for want of room
	Stale     uint64 `json:"stale"`   // hand-ins by an older configuration
	Preempted uint64 `json:"preempted"`
	Stalled   uint64 `json:"stalled"` // runs stopped for want of progress
}

// RunnersRequest asks a shard's owner for its runners.
type RunnersRequest struct{ Shard protocol.ShardID }

// RunnersResponse has them, by service and instance.
type RunnersResponse struct{ Runners []Runner }

// Runner is one incarnation of a runner as its owner knows it.
type Runner struct {
	Shard    protocol.ShardID
	Instance string
	Service  string
	Address  string
	Zone     string
	Labels   []string
	State    string // ready, draining, silent or ended
	Capacity protocol.Resources
	Free     protocol.Resources // estimated
	Runs     int
	Stops    int     // ordered and not yet listed as ended
	Distrust float64 // 0: none; 1: all that it starts fails
	SilentMs int64
	HoldMs   int64 // left of its longest hold
}

// JobsRequest asks a shard's owner for its jobs in the order of their ids.
type JobsRequest struct {
	Shard protocol.ShardID
	Queue string // key; empty: of all queues
	After string // id
	Most  int    // 0 or too many: jobsPage
}

// JobsResponse has one page.
type JobsResponse struct {
	Jobs []Job
	More bool
}

// Job is a job as its owner knows it.
type Job struct {
	ID         string
	Queue      string
	Service    string
	State      string
	AcceptedMs int64 // ms since 1970, by the shard's clock
	EndedMs    int64 // 0: not yet
	Done       int   // tasks of the times that are under way
	Running    int
	Tasks      int
}

// SnapshotRequest asks a shard's owner for its state, in pieces. The first one makes the snapshot, after the owner's
// leadership was confirmed; the others go on with it.
type SnapshotRequest struct {
	Shard   protocol.ShardID
	Session uint64 // 0: the first
	Offset  int
}

// SnapshotResponse is one piece. A session that is over is the error Conflict.
type SnapshotResponse struct {
	Session uint64
	Index   uint64
	Term    uint64
	Total   int // bytes of the whole
	Data    []byte
}

// DigestRequest asks a control process for the digest of its state of a shard as of one index.
type DigestRequest struct {
	Shard protocol.ShardID
	Index uint64
}

// DigestResponse has it. A state that is past the index is the error Conflict, one that does not get there Unavailable.
type DigestResponse struct{ Digest uint64 }

// ResignRequest asks a control process to give its leaderships away, and to stand for none until it is started again.
type ResignRequest struct{}

// ResignResponse comes once it leads nothing, or could not get rid of everything in time.
type ResignResponse struct{ Left int }
