package control

import (
	"time"

	"ospreypond/internal/cluster/administration"
	"ospreypond/internal/cluster/failure"
	"ospreypond/internal/cluster/protocol"
)

const (
	snapshotChunkBytes  = 256 << 10
	maxSnapshotSessions = 8                // at a time
	snapshotReadTimeout = 15 * time.Second // for the next chunk to be requested
)

// snapshotSession is a shard's encoded state as of one index, while an operator reads it in chunks.
type snapshotSession struct {
	shard       protocol.ShardID
	index, term uint64
	data        []byte
	lastReadAt  time.Duration
}

// snapshot answers with a chunk of a shard's state. A request without a session starts one; that reads only what a quorum
// has confirmed, so a process that has been superseded serves no backup.
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

// openSnapshot starts a session and returns its first chunk.
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

// readChunk answers with the chunk at the request's offset. The session ends with its last chunk.
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

// scheduleExpiry has expireSnapshots run after snapshotReadTimeout. One timer runs while there are sessions.
func (a *administrator) scheduleExpiry() {
	a.control.clock.AfterFunc(snapshotReadTimeout, func() { a.control.engine.Do(a.expireSnapshots) })
}

// expireSnapshots ends the sessions whose next chunk was not requested in time.
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
