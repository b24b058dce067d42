package replica

import (
	"time"

	"ospreypond/internal/cluster/consensus"
)

// GroupOverview is what an operator may want to know of this process's member of a group.
type GroupOverview struct {
	Status        consensus.Status
	Ready         bool   // this process leads, and its state machine was told so
	Applied       uint64 // index of the newest entry that the state machine has
	SnapshotIndex uint64 // of the newest snapshot on disk
	LogBytes      int64  // of the entries after it
	Lags          []Lag  // of the other members, if this process leads
}

// Lag is how far a member is behind its leader.
type Lag struct {
	Member               consensus.MemberID
	Entries              uint64        // that it has not acknowledged
	SinceAcknowledgement time.Duration // since its last acknowledgement
}

// Overview tells about a group; false if the engine does not have it. It is called on the loop.
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
		entries, heardAt, known := g.node.Lag(member.ID)
		if known && member.ID != e.self.ID {
			overview.Lags = append(overview.Lags, Lag{Member: member.ID, Entries: entries, SinceAcknowledgement: e.now - heardAt})
		}
	}
	return overview, true
}

// DiskOverview is what the disk holds, and how it is.
type DiskOverview struct {
	Unhealthy bool  // writes fail or take too long
	LogBytes  int64 // of all segments, as of the newest write
	Segments  int
}

// Disk tells about the disk. It is called on the loop.
func (e *Engine) Disk() DiskOverview {
	figures := &e.writer.figures
	return DiskOverview{Unhealthy: e.writer.health.sick, LogBytes: figures.logBytes, Segments: figures.segments}
}

// Resigning tells whether Resign was called. It is called on the loop.
func (e *Engine) Resigning() bool { return e.shifts.resigning }

// Self is this process as a member of its groups.
func (e *Engine) Self() consensus.Member { return e.self }
