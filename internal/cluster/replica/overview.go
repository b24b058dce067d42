package replica

import (
	"time"

	"ospreypond/internal/cluster/consensus"
)

// GroupOverview describes this process's member of a group to operators.
type GroupOverview struct {
	Status        consensus.Status
	Ready         bool   // this process leads the group, and its state machine was notified of that
	Applied       uint64 // index of the newest applied entry
	SnapshotIndex uint64 // index of the newest snapshot on disk
	LogBytes      int64  // about how many bytes the entries after that snapshot have
	Lags          []Lag  // how far the other members are behind; empty unless this process leads
}

// Lag is how far a member is behind its leader.
type Lag struct {
	Member               consensus.MemberID
	Entries              uint64        // number of entries that the member has not acknowledged
	SinceAcknowledgement time.Duration // time since the member's last response to this leader
}

// Overview returns the overview of a group, or false if the engine does not have the group. It must be called on the loop.
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

// DiskOverview describes the disk to operators. The sizes are as of the newest successful write.
type DiskOverview struct {
	Unhealthy bool  // writes fail, or take slowWriteTime or longer
	LogBytes  int64 // length of all segments of the log
	Segments  int   // number of segments
}

// Disk returns the overview of the disk. It must be called on the loop.
func (e *Engine) Disk() DiskOverview {
	usage := &e.writer.usage
	return DiskOverview{Unhealthy: e.writer.health.unhealthy, LogBytes: usage.logBytes, Segments: usage.segments}
}

// Resigning reports whether Resign or Decommission was called. It must be called on the loop.
func (e *Engine) Resigning() bool { return e.transfers.resigning }

// Self returns this process's ID, node, zone and address. Any goroutine may call it.
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
