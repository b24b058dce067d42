package administration

import (
	"context"

	"ospreypond/internal/cluster/administration/archive"
	"ospreypond/internal/cluster/failure"
	"ospreypond/internal/cluster/protocol"
)

// Backup returns the state of every shard. An owner encodes its state after a quorum has confirmed its leadership, so the
// state includes everything that was acknowledged before the call. The shards are read one after the other, not as of one
// moment. The configuration is read last, so that it is at least as new as any version under which a job in the backup was
// submitted.
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

// maxShardReads bounds how often a shard is read from the start. Its owner may change between two chunks, and the new owner
// doesn't have the snapshot of the former one.
const maxShardReads = 5

// backupShard adds a shard's state to a backup. It starts again if the owner changes or has dropped the snapshot.
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

// readShard reads one snapshot of a shard's state from its owner, chunk by chunk. It fails with Conflict or NotLeader if the
// owner changes or no longer has the snapshot.
func (c *Client) readShard(ctx context.Context, shard protocol.ShardID) (*archive.Shard, error) {
	state := &archive.Shard{ID: uint32(shard)}
	request := &SnapshotRequest{Shard: shard}
	for {
		chunk, err := read[SnapshotRequest, SnapshotResponse](ctx, c, shard, request)
		if err != nil {
			return nil, err
		}
		if request.Session != 0 && (chunk.Index != state.Index || chunk.Term != state.Term) {
			return nil, failure.New(failure.Conflict, "the shard's owner changed while its snapshot was read")
		}
		state.Index, state.Term = chunk.Index, chunk.Term
		state.Data = append(state.Data, chunk.Data...)
		if len(state.Data) >= chunk.Total {
			return state, nil
		}
		request = &SnapshotRequest{Shard: shard, Session: chunk.Session, Offset: len(state.Data)}
	}
}
