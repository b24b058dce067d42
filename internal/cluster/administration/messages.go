// Package administration has the operator's side of a running system: reports on its control processes, shards, runners and
// jobs, changes of the configuration, and backups. It consists of the messages, which every control process serves at its
// internal address (package control), the Client that sends them, and views that merge the reports of several processes.
//
// Reports and lists are meant for people to read: a process answers from its own state, and no quorum confirms that the
// state is the newest. Backups, job states and the configuration are confirmed by a quorum, and changes are committed.
//
// The messages are encoded by gob, which finds fields by their names and silently drops fields that the receiver doesn't
// have. The names of their fields are the wire format between commands and control processes of different versions and
// must not change. Types that are printed have JSON tags, which must not change either.
package administration

import "ospreypond/internal/cluster/protocol"

// ReportRequest requests the Report of a control process. Encoded by gob.
type ReportRequest struct{}

// Report is the state of a control process and of its replica groups, as the process knows it. Encoded by gob: the field
// names are the wire format.
type Report struct {
	Node        string
	Zone        string
	Address     string // internal
	Identity    uint64 // random number, drawn when the process started with an empty data folder
	UptimeMs    int64
	Draining    bool   // it transfers its leaderships, see ResignRequest
	DiskSick    bool   // the disk is unhealthy: writes fail or take too long
	LogBytes    int64  // size of all log segments on its disk
	Segments    int    // number of log segments on its disk
	MemoryBytes uint64 // memory that the process has from the operating system
	Groups      []GroupReport
}

// GroupReport is the state of one shard's replica group, as one of its members knows it. Encoded by gob: the field names are
// the wire format.
type GroupReport struct {
	Shard         protocol.ShardID
	Term          uint64
	Leader        uint64 // identity of the group's leader as the process knows it; 0: none is known
	Owner         bool   // the process believes that it owns the shard; no quorum has confirmed it
	Commit        uint64 // index of the newest committed entry that the process knows
	Applied       uint64 // index of the newest entry that its state machine has applied
	Last          uint64 // index of the newest entry in its log
	SnapshotIndex uint64 // index of the newest snapshot on its disk
	LogBytes      int64  // size of the entries after that snapshot
	Members       []MemberReport

	// Set in the owner's report only.
	StateBytes           int       // size of the encoded state
	ConfigurationVersion uint64    // in the report of protocol.ConfigurationShard only
	Jobs                 JobCounts // of a shard of jobs
	Counters             Counters  // of a shard of jobs
}

// MemberReport is one member of a group, as the reporting process knows it. Entries and SilentMs are set in the leader's
// report only. Encoded by gob: the field names are the wire format.
type MemberReport struct {
	protocol.Member
	Learner  bool
	Entries  uint64 // number of entries that the member has not acknowledged
	SilentMs int64  // ms since the member's last acknowledgement
	Change   string // how a joint membership changes its vote: MemberJoining or MemberLeaving; empty: no change
}

// Values of MemberReport.Change.
const (
	MemberJoining = "joining" // it votes in the incoming configuration only
	MemberLeaving = "leaving" // it votes in the outgoing configuration only
)

// JobCounts counts the jobs, tasks and runners of a shard. Encoded by gob, and printed in JSON: the field names and tags
// are formats.
type JobCounts struct {
	Jobs    int `json:"jobs"`    // jobs that have not ended
	Kept    int `json:"kept"`    // ended jobs whose state is retained
	Held    int `json:"held"`    // pending tasks
	Running int `json:"running"` // tasks of which a run may exist
	Runners int `json:"runners"`

	Withdrawn int `json:"withdrawn"` // IDs of jobs that were cancelled before they were accepted
}

// Counters count the events of a shard of jobs. Encoded by gob, and printed in JSON: the field names and tags are formats.
type Counters struct {
	// Counted since the shard was created.
	Taken     uint64 `json:"taken"`     // jobs accepted
	Completed uint64 `json:"completed"` // jobs
	Failed    uint64 `json:"failed"`    // jobs
	Cancelled uint64 `json:"cancelled"` // jobs
	Started   uint64 `json:"started"`   // runs
	Lost      uint64 `json:"lost"`      // runs lost with their runners

	// Counted by the owner's process since it started, while it owned the shard.
	Rounds    uint64 `json:"rounds"`    // rounds of placement
	Stops     uint64 `json:"stops"`     // stops of runs that were ordered
	Refused   uint64 `json:"refused"`   // submissions rejected because too many jobs of the shard had not ended
	Stale     uint64 `json:"stale"`     // submissions rejected because they name an older configuration
	Preempted uint64 `json:"preempted"` // runs stopped to make room for others
	Stalled   uint64 `json:"stalled"`   // runs stopped because they made no progress

	WithdrawalsRefused uint64 `json:"withdrawalsRefused"` // cancels of unknown jobs refused because of too many others
}

// RunnersRequest requests the runners of a shard from its owner. Encoded by gob.
type RunnersRequest struct{ Shard protocol.ShardID }

// RunnersResponse is the response to a RunnersRequest. Encoded by gob.
type RunnersResponse struct{ Runners []Runner }

// Runner is one incarnation of a runner, as the owner of its shard knows it. Encoded by gob: the field names are the wire
// format.
type Runner struct {
	Shard    protocol.ShardID
	Instance string
	Service  string
	Address  string
	Zone     string
	Labels   []string
	State    string // ready, draining, silent (unresponsive) or ended
	Capacity protocol.Resources
	Free     protocol.Resources // estimated: capacity less the resources of the runs that may exist
	Runs     int                // runs that may exist on it
	Stops    int                // stops that were ordered, of runs that it has not listed as ended yet
	Distrust float64            // failure score: 0 means no failures, 1 that all runs that it starts fail or make no progress
	SilentMs int64              // ms since its last heartbeat, or since the owner's election if none has come
	HoldMs   int64              // ms until its lease ends; 0: ended
}

// JobsRequest requests one page of a shard's jobs from its owner, sorted by id. Encoded by gob: the field names are the
// wire format.
type JobsRequest struct {
	Shard protocol.ShardID
	Queue string // key of the queue; empty: the jobs of all queues
	After string // the page starts after this job ID; empty: with the first job
	Most  int    // number of jobs on the page; 0 or too large: the owner's limit
}

// JobsResponse is one page of jobs, sorted by ID. Encoded by gob.
type JobsResponse struct {
	Jobs []Job
	More bool // there are jobs after this page
}

// Job is a job, as the owner of its shard knows it. Encoded by gob: the field names are the wire format.
type Job struct {
	ID         string
	Queue      string
	Service    string
	State      string
	AcceptedMs int64 // Unix time in ms, by the shard's clock
	EndedMs    int64 // Unix time in ms, by the shard's clock; 0: not ended

	// Tasks are counted in the repetitions that are due and not complete. A job without repetitions has a single one.
	Done    int // tasks that are done
	Running int // tasks of which a run may exist
	Tasks   int // all tasks
}

// SnapshotRequest requests a chunk of a shard's state from its owner. At the first request, which has no session, the owner
// encodes the state after a quorum has confirmed its leadership. Further requests read that snapshot chunk by chunk. Encoded
// by gob: the field names are the wire format.
type SnapshotRequest struct {
	Shard   protocol.ShardID
	Session uint64 // SnapshotResponse.Session of the first response; 0: make a new snapshot
	Offset  int    // of the chunk in the encoded state, in bytes
}

// SnapshotResponse is one chunk. If the session has ended, the error is Conflict. Encoded by gob: the field names are the
// wire format.
type SnapshotResponse struct {
	Session uint64
	Index   uint64 // index of the newest log entry that the snapshot includes
	Term    uint64 // term of the owner
	Total   int    // size of the complete encoded state in bytes
	Data    []byte // the state's bytes from the request's offset on
}

// DigestRequest requests the digest of a shard's state at one control process, as of an index of the log. Encoded by gob.
type DigestRequest struct {
	Shard protocol.ShardID
	Index uint64
}

// DigestResponse is the response to a DigestRequest. The error is Conflict if the state is past the index already, and
// Unavailable if it doesn't reach the index in time. Encoded by gob.
type DigestResponse struct{ Digest uint64 }

// ResignRequest requests a control process to transfer its leaderships. Until the process is started again, it campaigns
// only in groups that have had no leader for a long time. Encoded by gob.
type ResignRequest struct{}

// ResignResponse is sent when the process no longer leads any group, or could not transfer all leaderships in time. Left
// is the number of groups that it still leads. Encoded by gob.
type ResignResponse struct{ Left int }
