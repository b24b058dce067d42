package control

import (
	"time"

	"ospreypond/internal/cluster/administration"
	"ospreypond/internal/cluster/failure"
	"ospreypond/internal/cluster/protocol"
)

const (
	snapshotChunkBytes  = 256 << 10        // maximum data of one response
	maxSnapshotSessions = 8                // sessions at the same time; each keeps a complete encoded state in memory
	snapshotReadTimeout = 15 * time.Second // a session ends if none of its chunks was requested for this long
)

// snapshotSession is a shard's encoded state as of one index of its log, while an operator reads it in chunks.
type snapshotSession struct {
	shard       protocol.ShardID
	index, term uint64 // index of the last applied entry, and the leader's term when the session was opened
	data        []byte
	lastReadAt  time.Duration // engine's time of the newest request for a chunk
}

// snapshot replies with a chunk of a shard's state. A request without a session opens one, after a quorum has confirmed the
// leadership, so that a process that has lost the leadership without noticing can't serve an outdated backup.
func (a *administrator) snapshot(_ string, request *administration.SnapshotRequest, reply func(*administration.SnapshotResponse, error)) {
	engine := a.control.engine
	engine.Do(func() {
		if request.Session != 0 {
			reply(a.readChunk(request))
			return
		}
		engine.ConfirmLeadership(uint32(request.Shard), func(err error) {
			if err != nil {
				reply(nil, err)
				return
			}
			reply(a.openSnapshot(request.Shard))
		})
	})
}

// openSnapshot opens a session and returns its first chunk.
func (a *administrator) openSnapshot(shard protocol.ShardID) (*administration.SnapshotResponse, error) {
	if len(a.sessions) >= maxSnapshotSessions {
		return nil, failure.New(failure.Overloaded, "too many snapshots are being read")
	}
	overview, _ := a.control.engine.Overview(uint32(shard))
	data, err := a.stateMachine(shard).Snapshot()
	if err != nil {
		return nil, failure.Newf(failure.Unavailable, "the state of shard %d cannot be encoded: %v", shard, err)
	}
	if len(a.sessions) == 0 {
		a.scheduleExpiry()
	}
	a.lastSession++
	session := a.lastSession
	a.sessions[session] = &snapshotSession{shard: shard, index: overview.Applied, term: overview.Status.Term, data: data}
	return a.readChunk(&administration.SnapshotRequest{Shard: shard, Session: session})
}

// readChunk returns the chunk at the request's offset. The session ends with its last chunk.
func (a *administrator) readChunk(request *administration.SnapshotRequest) (*administration.SnapshotResponse, error) {
	session := a.sessions[request.Session]
	if session == nil || session.shard != request.Shard || request.Offset < 0 || request.Offset > len(session.data) {
		return nil, failure.New(failure.Conflict, "the snapshot has expired: restart the transfer")
	}
	session.lastReadAt = a.control.engine.Now()
	end := min(request.Offset+snapshotChunkBytes, len(session.data))
	if end == len(session.data) {
		delete(a.sessions, request.Session)
	}
	return &administration.SnapshotResponse{
		Session: request.Session,
		Index:   session.index,
		Term:    session.term,
		Total:   len(session.data),
		Data:    session.data[request.Offset:end],
	}, nil
}

// scheduleExpiry schedules expireSnapshots after snapshotReadTimeout. One timer runs while there are sessions, so a session
// may end up to twice that time after its last chunk was requested.
func (a *administrator) scheduleExpiry() {
	a.control.clock.AfterFunc(snapshotReadTimeout, func() { a.control.engine.Do(a.expireSnapshots) })
}

// expireSnapshots ends each session if none of its chunks was requested for snapshotReadTimeout.
func (a *administrator) expireSnapshots() {
	now := a.control.engine.Now()
	for number, session := range a.sessions {
		if now-session.lastReadAt >= snapshotReadTimeout {
			delete(a.sessions, number)
		}
	}
	if len(a.sessions) > 0 {
		a.scheduleExpiry()
	}
}
