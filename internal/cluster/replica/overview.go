package replica

import (
	"time"

	"ospreypond/internal/cluster/consensus"
)

// GroupOverview is what operators are shown of this process's member of a group.
type GroupOverview struct {
	Status        consensus.Status
	Ready         bool   // this process leads, and its state machine was notified of it
	Applied       uint64 // index of the newest entry that was applied
	SnapshotIndex uint64 // index of the newest snapshot on disk
	LogBytes      int64  // of the entries after that snapshot
	Lags          []Lag  // of the other members; empty unless this process leads
}

// Lag is how far a member is behind its leader.
type Lag struct {
	Member               consensus.MemberID
	Entries              uint64        // that it has not acknowledged
	SinceAcknowledgement time.Duration // since its last acknowledgement
}

// Overview describes a group. It returns false if the engine does not have the group. It must be called on the loop.
func (e *Engine) Overview(id GroupID) (GroupOverview, bool) {
	g := e.byID[id]
	if g == nil {
		return GroupOverview{}, false
	}
	overview := GroupOverview{
		Status:        g.node.Status(),
		Ready:         g.leadingTerm != 0,
		Applied:       g.appliedIndex,
		SnapshotIndex: g.snapshots.index,
		LogBytes:      g.snapshots.logBytes,
	}
	for _, member := range overview.Status.Members {
		entries, answeredAt, known := g.node.Lag(member.ID)
		if known && member.ID != e.self.ID {
			overview.Lags = append(overview.Lags, Lag{Member: member.ID, Entries: entries, SinceAcknowledgement: e.now - answeredAt})
		}
	}
	return overview, true
}

// DiskOverview is what operators are shown of the disk.
type DiskOverview struct {
	Unhealthy bool  // writes fail, or take slowWriteTime or longer
	LogBytes  int64 // of all segments, as of the newest completed write
	Segments  int
}

// Disk describes the disk. It must be called on the loop.
func (e *Engine) Disk() DiskOverview {
	usage := &e.writer.usage
	return DiskOverview{Unhealthy: e.writer.health.unhealthy, LogBytes: usage.logBytes, Segments: usage.segments}
}

// Resigning reports whether Resign or Decommission was called. It must be called on the loop.
func (e *Engine) Resigning() bool { return e.transfers.resigning }

// Self returns this process as a member of its groups. Any goroutine may call it.
func (e *Engine) Self() consensus.Member { return e.self }

// KnowsLeaders reports whether this process knows a leader of each group. It must be called on the loop.
func (e *Engine) KnowsLeaders() bool {
	for _, g := range e.groups {
		if g.node.Status().Leader == consensus.None {
			return false
		}
	}
	return true
}
