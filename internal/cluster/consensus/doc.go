// Package consensus implements Raft for one member of one replica group: elections with pre-vote, replication in batches,
// leadership confirmation for linearizable reads, membership changes by joint consensus, learners, leadership transfer and
// snapshots. Section numbers in comments refer to Diego Ongaro's thesis, "Consensus: Bridging Theory and Practice"
// (Stanford, 2014).
//
// The package does no input or output: it has no clock, no disk, no network and no goroutine. The caller passes inputs to a
// Node (Tick, Step, Propose, Persisted, ...) together with the time of the input. Output returns the messages to send, the
// data to write and the entries to apply. Given the same inputs a Node makes the same decisions, so a group can be tested
// in virtual time.
//
// # Duties of the caller
//
// Call a Node from one goroutine at a time. After each input, call Output while HasOutput reports true, and carry out each
// Output as follows:
//
//  1. Send Immediate at any time. These messages need not wait for the disk.
//  2. Write Snapshot, HardState and Entries to the disk, in the order of the Outputs. A crash may interrupt a write. The
//     surviving part must be a prefix of the written data. Within an Output, HardState precedes Entries.
//  3. Once this Output and all earlier ones are on disk (fsync), send Deferred and call Persisted with the index and term of
//     the last entry written. A deferred message promises that this data survives a restart: it is a vote, an
//     acknowledgement, or a request for votes, which implies the candidate's vote for itself.
//  4. If there is a Snapshot, replace the state machine by it. Then apply Committed in order, each entry exactly once. This
//     need not wait for the disk of this member, because a quorum has the entries on disk.
//
// Call Tick at NextDeadline at the latest. Pass the time of a monotonic clock. Its zero may differ between members and
// between restarts.
//
// While the member leads, call MembersNeedingSnapshot after inputs, and pass a snapshot of the state machine to SendSnapshot
// for each member it returns. To bound memory, write a snapshot to the disk first and then call Compact with its index or a
// lower one.
//
// After a restart, pass the contents of the disk to New. The state machine starts from Restored.Snapshot, and Committed
// returns all entries after it again. A member whose disk was lost or replaced must return under a new MemberID. Under its
// earlier MemberID it may have voted or acknowledged entries, and the empty disk has no record of that.
//
// The network may lose, duplicate, reorder and delay messages without limit, also across restarts of either end. It must
// not alter messages or invent any.
//
// # Guarantees
//
// If the caller follows these rules, the package guarantees the following under any other failure:
//
//   - At most one member leads in a term.
//   - Committed returns the same entries in the same order at all members, without gaps. A committed entry is never revoked.
//   - Every later leader has every committed entry.
//   - After ConfirmLeadership at a time t, Status.ConfirmedAt >= t shows that no member was elected in a later term before
//     t. A read is linearizable if it was requested at or before t and is then served by a leader that is Ready, from a
//     state machine that has applied all of Committed.
//   - A change of the membership is safe at any moment, also when the leader fails during it.
//
// # Limits of the guarantees
//
// When Propose returns without an error, the entry is only in the leader's log. It is committed when Committed returns an
// entry with that index and term. If the leader changes before that, the outcome is unknown, and a retry may apply the
// command twice.
//
// Entries are committed only while a quorum of voters is up and connected, and their disks finish writes within the time
// that elections allow for (SetWriteTime).
//
// Status.Members may be uncommitted, and the earlier membership may replace it. Status.IsLeader may be out of date: another
// member may lead in a later term. Only ConfirmedAt proves leadership, up to that time. A caller that builds leases on
// ConfirmedAt must bound the clock drift between members.
//
// # Where to begin reading
//
// node.go has the inputs of all members, output.go the output. election.go, leader.go and replication.go are Raft's core,
// with the log in log.go and the leader's view of each member in progress.go. quorum.go computes quorums of one or two
// configurations, and membership_change.go changes the membership.
package consensus
