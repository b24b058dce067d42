package frontend

import (
	"context"
	"net/http"
	"slices"
	"time"

	"ospreypond/internal/cluster/failure"
	"ospreypond/internal/cluster/httpjson"
	"ospreypond/internal/cluster/protocol"
)

// serveCancel cancels a job and responds once the cancellation is committed. It responds Gone (410) to the cancel of an
// unknown job. By the clients' protocol that acknowledges the cancel as 200 does, so it comes only once no shard can accept
// the job any more.
func (s *Service) serveCancel(ctx context.Context, w http.ResponseWriter, r *http.Request, arrived time.Time, to target) {
	ctx, cancel := s.withBudget(ctx, r, arrived, to, maxQueryTime)
	defer cancel()
	if err := s.cancel(ctx, arrived, r, to); err != nil {
		httpjson.WriteError(w, err)
		return
	}
	httpjson.Write(w, http.StatusOK, httpjson.EmptyObject)
}

// cancel cancels a job in the shard that has it. If none has, it withdraws the job's ID: a submission may be on its way, at a
// frontend that stands still, in a relay or in a call that is repeated. A shard that has accepted the job in the meantime
// doesn't withdraw the ID, and the job is cancelled there.
func (s *Service) cancel(ctx context.Context, arrived time.Time, r *http.Request, to target) error {
	unknown := s.queryEach(ctx, arrived, r, to, func(shard protocol.ShardID, id string) error { return s.cancelIn(ctx, shard, id) })
	if failure.KindOf(unknown) != failure.Gone {
		return unknown
	}
	holders, err := s.withdraw(ctx, to)
	if err != nil {
		return err
	}
	cancelled, err := s.cancelInHolders(ctx, r, to, holders)
	if cancelled || err != nil {
		return err
	}
	return unknown
}

// cancelIn cancels a job in one shard. The error is Gone if the shard doesn't have the job.
func (s *Service) cancelIn(ctx context.Context, shard protocol.ShardID, id string) error {
	_, err := s.Owners.Cancel(ctx, &protocol.CancelRequest{Shard: shard, ID: id})
	return err
}

// withdraw has every shard promise never to accept the job, and returns the shards that have or had it instead. It asks all
// shards of jobs, not those of the queue alone: the queue may move to another one before the submission arrives, and a
// frontend with another version of the configuration may choose another one.
func (s *Service) withdraw(ctx context.Context, to target) (holders []protocol.ShardID, err error) {
	for _, shard := range allShards(to.route.Shards) {
		if isDone(ctx) {
			return nil, errTimeOver
		}
		fence := &protocol.FenceRequest{Shard: shard, ID: to.id, ConfigurationVersion: protocol.EveryVersion}
		response, err := s.Owners.Fence(ctx, fence)
		if err != nil {
			return nil, err
		}
		if response.HasJob {
			holders = append(holders, shard)
		}
	}
	return holders, nil
}

// allShards returns all shards of jobs, the given ones first.
func allShards(first []protocol.ShardID) []protocol.ShardID {
	shards := slices.Clone(first)
	for shard := protocol.ShardID(1); shard <= protocol.JobShards; shard++ {
		if !slices.Contains(shards, shard) {
			shards = append(shards, shard)
		}
	}
	return shards
}

// cancelInHolders cancels the job in those shards that are the queue's by the newest configuration, and reports whether one
// of them had the job. A shard that doesn't have it any more has forgotten it after its end, and doesn't accept it again. A
// shard that isn't the queue's has a job of another queue with the same ID.
func (s *Service) cancelInHolders(ctx context.Context, r *http.Request, to target, holders []protocol.ShardID) (bool, error) {
	if len(holders) == 0 {
		return false, nil
	}
	now := s.Clock.Now()
	if !s.confirmSince(ctx, now) {
		return false, failure.New(failure.Unavailable, "the configuration was not confirmed in time: a newer version may have moved this queue")
	}
	newest, err := s.findTarget(ctx, now, r)
	if err != nil {
		return false, err
	}
	for _, shard := range holders {
		if !slices.Contains(newest.route.Shards, shard) {
			continue
		}
		err := s.cancelIn(ctx, shard, to.id)
		if failure.KindOf(err) != failure.Gone {
			return err == nil, err
		}
	}
	return false, nil
}
