// Package administration is what the operator's commands use of a running system: reports on its control processes, its
// shards, runners and jobs, changes of the configuration, backups. It has the messages, which every control process serves
// at its internal address (package control), the Client that sends them, and views that merge what several processes
// report.
//
// Reports and lists are for people: each process or owner answers from what it knows, and no quorum confirms it. Backups,
// job states, the configuration and changes are confirmed or committed.
//
// The messages are encoded by gob, which finds fields by their names and drops what the other side does not have, without
// an error: the names of their fields are the wire format between commands and control processes of different versions, and
// stay. What is printed has JSON tags, which stay as well.
package administration

import "ospreypond/internal/cluster/protocol"

// ReportRequest requests the Report of a control process. Encoded by gob.
type ReportRequest struct{}

// Report is what a control process knows of itself and of its replica groups. Encoded by gob: the field names are the wire
// format.
type Report struct {
	Node        string
	Zone        string
	Address     string // internal
	Identity    uint64 // drawn at random when its disk was empty
	UptimeMs    int64
	Draining    bool  // it transfers its leaderships and campaigns for none
	DiskSick    bool  // the disk is unhealthy: writes fail or take too long
	LogBytes    int64 // of all segments on its disk
	Segments    int
	MemoryBytes uint64 // that the process has from the operating system
	Groups      []GroupReport
}

// GroupReport is what a control process knows of one shard's replica group. Encoded by gob: the field names are the wire
// format.
type GroupReport struct {
	Shard         protocol.ShardID
	Term          uint64
	Leader        uint64 // identity of the owner as known there; 0: none
	Owner         bool   // the process takes itself for the shard's owner
	Commit        uint64 // index
	Applied       uint64 // index
	Last          uint64 // index
	SnapshotIndex uint64
	LogBytes      int64 // of the entries after the snapshot
	Members       []MemberReport

	// Reported by the owner alone.
	StateBytes           int
	ConfigurationVersion uint64 // of the configuration's shard
	Jobs                 JobCounts
	Counters             Counters
}

// MemberReport is one member of a group as a process knows it. Entries and SilentMs are 0 but in the owner's report.
// Encoded by gob: the field names are the wire format.
type MemberReport struct {
	protocol.Member
	Learner  bool
	Entries  uint64 // that the member has not acknowledged
	SilentMs int64  // since the member's last acknowledgement
	Change   string // of its vote, by a joint membership: MemberJoining, MemberLeaving; empty: none
}

// Changes of a member's vote by a joint membership.
const (
	MemberJoining = "joining" // it votes in the incoming configuration only
	MemberLeaving = "leaving" // it votes in the outgoing configuration only
)

// JobCounts counts the jobs, tasks and runners of a shard. Encoded by gob, and printed in JSON: the field names and tags
// are formats.
type JobCounts struct {
	Jobs    int `json:"jobs"`    // not ended
	Kept    int `json:"kept"`    // ended, state retained
	Held    int `json:"held"`    // pending tasks
	Running int `json:"running"` // tasks of which a run may exist
	Runners int `json:"runners"`
}

// Counters count what a shard of jobs has done. Encoded by gob, and printed in JSON: the field names and tags are formats.
type Counters struct {
	// Since the shard exists.
	Taken     uint64 `json:"taken"` // jobs accepted
	Completed uint64 `json:"completed"`
	Failed    uint64 `json:"failed"`
	Cancelled uint64 `json:"cancelled"`
	Started   uint64 `json:"started"` // runs
	Lost      uint64 `json:"lost"`    // runs lost with their runners

	// Since the owner's process started, counted while it owned the shard.
	Rounds    uint64 `json:"rounds"`  // of placement
	Stops     uint64 `json:"stops"`   // ordered
	Refused   uint64 `json:"refused"` // submissions rejected because the shard is full
	Stale     uint64 `json:"stale"`   // submissions rejected because they name an older configuration
	Preempted uint64 `json:"preempted"`
	Stalled   uint64 `json:"stalled"` // runs stopped because they made no progress
}

// RunnersRequest requests the runners of a shard from its owner. Encoded by gob.
type RunnersRequest struct{ Shard protocol.ShardID }

// RunnersResponse is the response to a RunnersRequest. Encoded by gob.
type RunnersResponse struct{ Runners []Runner }

// Runner is one incarnation of a runner as its owner knows it. Encoded by gob: the field names are the wire format.
type Runner struct {
	Shard    protocol.ShardID
	Instance string
	Service  string
	Address  string
	Zone     string
	Labels   []string
	State    string // ready, draining, silent (unresponsive) or ended
	Capacity protocol.Resources
	Free     protocol.Resources // estimated
	Runs     int
	Stops    int     // ordered and not yet listed as ended
	Distrust float64 // failure score: 0 to 1, at which all that it starts fails
	SilentMs int64   // since its last heartbeat
	HoldMs   int64   // left of its lease
}

// JobsRequest requests one page of a shard's jobs from its owner, sorted by id. Encoded by gob: the field names are the
// wire format.
type JobsRequest struct {
	Shard protocol.ShardID
	Queue string // key; empty: of all queues
	After string // id, exclusive; empty: from the first
	Most  int    // size of the page; 0 or too large: the owner's limit
}

// JobsResponse is one page. Encoded by gob.
type JobsResponse struct {
	Jobs []Job
	More bool // there are jobs after the page
}

// Job is a job as its owner knows it. Encoded by gob: the field names are the wire format.
type Job struct {
	ID         string
	Queue      string
	Service    string
	State      string
	AcceptedMs int64 // Unix time in ms, by the shard's clock
	EndedMs    int64 // Unix time in ms; 0: not ended
	Done       int   // tasks that have ended well, of the repetitions under way
	Running    int   // tasks of which a run may exist
	Tasks      int   // of the repetitions under way
}

// SnapshotRequest requests a chunk of a shard's state from its owner. The first request, without a session, makes the
// snapshot after a quorum has confirmed the owner's leadership; the others read on in it. Encoded by gob: the field names
// are the wire format.
type SnapshotRequest struct {
	Shard   protocol.ShardID
	Session uint64 // 0: a new one
	Offset  int    // in bytes
}

// SnapshotResponse is one chunk. The error for a session that has ended is Conflict. Encoded by gob: the field names are the
// wire format.
type SnapshotResponse struct {
	Session uint64
	Index   uint64 // the snapshot's last entry of the log
	Term    uint64 // of the owner
	Total   int    // bytes of the complete state
	Data    []byte // from the request's offset
}

// DigestRequest requests the digest of a control process's own state of a shard as of an index of the log. Encoded by gob.
type DigestRequest struct {
	Shard protocol.ShardID
	Index uint64
}

// DigestResponse is the response to a DigestRequest. The error is Conflict if the state is past the index, and Unavailable
// if it does not reach it. Encoded by gob.
type DigestResponse struct{ Digest uint64 }

// ResignRequest has a control process transfer its leaderships, and campaign for none until it is started again. Encoded by
// gob.
type ResignRequest struct{}

// ResignResponse comes when the process leads nothing any more, or could not transfer everything in time: Left is how many
// groups it still leads. Encoded by gob.
type ResignResponse struct{ Left int }
