package administration

import (
	"context"

	"ospreypond/internal/cluster/administration/archive"
	"ospreypond/internal/cluster/failure"
	"ospreypond/internal/cluster/protocol"
)

// Backup returns the state of every shard. Each one's owner was confirmed after it was asked, so that the state holds
// all that was acknowledged before; the shards are read one after the other, the configuration last.
func (c *Client) Backup(ctx context.Context) (*archive.Archive, error) {
	made := &archive.Archive{}
	err := eachShard(func(shard protocol.ShardID) error {
		return c.addShard(ctx, made, shard)
	})
	if err != nil {
		return nil, err
	}
	return made, c.addShard(ctx, made, protocol.ConfigurationShard)
}

// readings is how often a shard's state is read anew whose owner has changed meanwhile.
const readings = 5

func (c *Client) addShard(ctx context.Context, made *archive.Archive, shard protocol.ShardID) error {
	var err error
	for range readings {
		var read *archive.Shard
		if read, err = c.readShard(ctx, shard); err == nil {
			made.Shards = append(made.Shards, *read)
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

// readShard reads a shard's state in pieces from one owner.
func (c *Client) readShard(ctx context.Context, shard protocol.ShardID) (*archive.Shard, error) {
	state := &archive.Shard{ID: uint32(shard)}
	request := &SnapshotRequest{Shard: shard}
	for {
		piece, err := read[SnapshotRequest, SnapshotResponse](ctx, c, shard, request)
		if err != nil {
			return nil, err
		}
		if request.Session != 0 && (piece.Index != state.Index || piece.Term != state.Term) {
			return nil, failure.New(failure.Conflict, "another process answers for the shard")
		}
		state.Index, state.Term = piece.Index, piece.Term
		state.Data = append(state.Data, piece.Data...)
		if len(state.Data) >= piece.Total {
			return state, nil
		}
		request = &SnapshotRequest{Shard: shard, Session: piece.Session, Offset: len(state.Data)}
	}
}
