package administration

import (
	"context"

	"ospreypond/internal/cluster/administration/archive"
	"ospreypond/internal/cluster/failure"
	"ospreypond/internal/cluster/protocol"
)

// Backup returns the state of every shard. Each owner's leadership is confirmed after its state was requested, so the
// state includes everything acknowledged before the call. The shards are read one after the other, not as of one moment,
// the configuration last: it has every version by which the jobs were submitted.
func (c *Client) Backup(ctx context.Context) (*archive.Archive, error) {
	backup := &archive.Archive{}
	err := eachShard(func(shard protocol.ShardID) error {
		return c.backupShard(ctx, backup, shard)
	})
	if err != nil {
		return nil, err
	}
	return backup, c.backupShard(ctx, backup, protocol.ConfigurationShard)
}

// maxShardReads bounds how often a shard is read from the start because its owner changed meanwhile.
const maxShardReads = 5

// backupShard adds a shard's state to a backup.
func (c *Client) backupShard(ctx context.Context, backup *archive.Archive, shard protocol.ShardID) error {
	var err error
	for range maxShardReads {
		var state *archive.Shard
		if state, err = c.readShard(ctx, shard); err == nil {
			backup.Shards = append(backup.Shards, *state)
			return nil
		}
		switch failure.KindOf(err) {
		case failure.Conflict, failure.NotLeader:
		default:
			return err
		}
	}
	return err
}

// readShard reads a shard's state chunk by chunk from one owner. It fails with Conflict or NotLeader if the owner changes.
func (c *Client) readShard(ctx context.Context, shard protocol.ShardID) (*archive.Shard, error) {
	state := &archive.Shard{ID: uint32(shard)}
	request := &SnapshotRequest{Shard: shard}
	for {
		chunk, err := read[SnapshotRequest, SnapshotResponse](ctx, c, shard, request)
		if err != nil {
			return nil, err
		}
		if request.Session != 0 && (chunk.Index != state.Index || chunk.Term != state.Term) {
			return nil, failure.New(failure.Conflict, "another process answers for the shard")
		}
		state.Index, state.Term = chunk.Index, chunk.Term
		state.Data = append(state.Data, chunk.Data...)
		if len(state.Data) >= chunk.Total {
			return state, nil
		}
		request = &SnapshotRequest{Shard: shard, Session: chunk.Session, Offset: len(state.Data)}
	}
}
