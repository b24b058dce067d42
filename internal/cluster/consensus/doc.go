// Package consensus implements Raft for one member of one replica group: elections with pre-vote, replication in batches,
// leadership confirmation for linearizable reads, membership changes by joint consensus, learners, leadership transfer and
// snapshots. Section numbers in comments are those of Diego Ongaro's thesis, "Consensus: Bridging Theory and Practice"
// (Stanford, 2014).
//
// The package does no input or output: it has no clock, no disk, no network and no goroutine. A Node takes inputs (Tick,
// Step, Propose, Persisted, ...) and the time at which they came; Output returns what is to be done. Given the same inputs
// it makes the same decisions, so a group can be tested in virtual time.
//
// # What the caller must do
//
// Call a Node from one goroutine at a time. After each input, take Output while HasOutput reports true, and carry out each
// Output as follows:
//
//  1. Send Immediate at any time, before the disk is written if that is convenient.
//  2. Write Snapshot, HardState and Entries to the disk, in the order of the Outputs. A crash may tear a write: what
//     survives must be a prefix, where HardState comes before the Entries of the same Output.
//  3. Once this Output and all earlier ones are on disk (fsync), send Deferred, which promises what was written: a vote, an
//     acknowledgement, or a request for votes, which includes the candidate's vote for itself. Then call Persisted with the
//     index and term of the last entry written.
//  4. Replace the state machine by Snapshot if there is one, then apply Committed in order, each entry exactly once. This
//     need not wait for the disk: a quorum has the entries.
//
// Call Tick at NextDeadline at the latest. Pass the time of a monotonic clock; its zero may differ
// between members and between restarts.
//
// Serve a leader's followers: when MembersNeedingSnapshot lists a member, pass a snapshot of the state machine to
// SendSnapshot. To bound memory, write a snapshot to the disk first and then call Compact with its index or an earlier one.
//
// After a restart, pass to New what the disk has. The state machine starts from Restored.Snapshot, and all entries after
// it come out in Committed again. A member whose disk was lost or replaced must come back under a new MemberID: the old
// identity may have voted, or acknowledged entries, which the empty disk knows nothing of.
//
// The network may lose, duplicate, reorder and delay messages without limit, also across restarts of either end. It must
// not alter them or invent any.
//
// # What is promised
//
// As long as the caller does the above, whatever else fails: at most one member leads in a term; entries come out in
// Committed in the same order at all members, without gaps, and are never revoked; every later leader has every
// committed entry. After ConfirmLeadership at a time t, Status.ConfirmedAt >= t shows that no member was elected in a later
// term before t: a read that was requested at or before t and that is then served by a leader that is Ready, from a state
// machine that has applied all of Committed, is linearizable. A change of the membership is safe at any moment, including
// when the leader fails in the middle of it.
//
// # What is not promised
//
// Propose returning without an error means nothing but that the entry is in the leader's log. It is committed when an entry
// with that index and term comes out in Committed; if the leader changes meanwhile its outcome is unknown, and a retry may
// apply the command twice. Entries are committed only while a quorum of voters is up and connected, with disks that
// finish writes within the time that elections allow for. Status.Members may be uncommitted and may be replaced by the
// earlier membership. Status.IsLeader is what the member believes: only ConfirmedAt shows that it was so. How far clocks of
// different members may drift, for leases built on ConfirmedAt, is for the caller to bound.
//
// # Where to begin reading
//
// node.go has the inputs of all members, output.go what comes out. election.go, leader.go and replication.go are Raft's core,
// with the log in log.go and what a leader knows of each member in progress.go. Quorums, of one or two configurations, are
// computed in quorum.go, and the membership changes by membership_change.go.
package consensus
