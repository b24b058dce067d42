package frontend

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"ospreypond/internal/cluster/failure"
	"ospreypond/internal/cluster/httpjson"
	"ospreypond/internal/cluster/protocol"
)

// serveStatus responds to a query of a job's state.
func (s *Service) serveStatus(ctx context.Context, w http.ResponseWriter, r *http.Request, arrived time.Time, to target) {
	ctx, cancel := s.withBudget(ctx, r, arrived, to, maxQueryTime)
	defer cancel()
	var state protocol.JobState
	err := s.queryEach(ctx, arrived, r, to, func(shard protocol.ShardID, id string) error {
		response, err := s.Owners.Status(ctx, &protocol.StatusRequest{Shard: shard, ID: id})
		if err != nil {
			return err
		}
		state = response.State
		return nil
	})
	if err != nil {
		httpjson.WriteError(w, unavailableIfUnanswered(err))
		return
	}
	httpjson.Write(w, http.StatusOK, []byte(`{"state":"`+string(state)+`"}`))
}

// servePending responds with the number of a queue's jobs that have not ended.
func (s *Service) servePending(ctx context.Context, w http.ResponseWriter, r *http.Request, arrived time.Time, to target) {
	ctx, cancel := s.withBudget(ctx, r, arrived, to, maxQueryTime)
	defer cancel()
	pending, err := s.pending(ctx, arrived, r)
	if err != nil {
		httpjson.WriteError(w, unavailableIfUnanswered(err))
		return
	}
	httpjson.Write(w, http.StatusOK, []byte(`{"pending":`+strconv.Itoa(pending)+`}`))
}

// pending returns the number of a queue's jobs that have not ended, in all of its shards. It is an error if a version of the
// configuration that this process doesn't have may have dropped the queue.
func (s *Service) pending(ctx context.Context, arrived time.Time, r *http.Request) (int, error) {
	if !s.confirm(ctx, s.maxAgeExact) {
		return 0, failure.New(failure.Unavailable, "the configuration was not confirmed in time: a newer version may not have this queue")
	}
	to, err := s.findTarget(ctx, arrived, r)
	if err != nil {
		return 0, err
	}
	sum := 0
	for _, shard := range to.route.Shards {
		response, err := s.Owners.Pending(ctx, &protocol.PendingRequest{Shard: shard, Queue: to.route.Queue.Key})
		if err != nil {
			return 0, err
		}
		sum += response.Pending
	}
	return sum, nil
}

// queryEach queries the shards that may have the job, the current shard first, until a shard has it.
//
// It returns Gone, which says that no shard has the job, only if each queried shard has said so, and the configuration that
// was the newest when the request arrived names no other shard. To know this, it waits for a confirmation of this process's
// version. If there is a newer version, it queries again by that version.
func (s *Service) queryEach(ctx context.Context, arrived time.Time, r *http.Request, to target, query func(protocol.ShardID, string) error) error {
	for {
		err := queryShards(ctx, to, query)
		if failure.KindOf(err) != failure.Gone {
			return err
		}
		if !s.confirmSince(ctx, arrived) {
			return failure.New(failure.Unavailable, "the configuration was not confirmed in time: a newer version may have moved this queue")
		}
		newest, findErr := s.findTarget(ctx, arrived, r)
		if findErr != nil {
			return findErr
		}
		if newest.view.Version == to.view.Version {
			return err
		}
		to = newest
	}
}

// queryShards queries the target's shards one after the other until one has the job. Its error is Gone only if all shards
// have said so, and UnknownOutcome if any shard may have carried out the request without a response.
func queryShards(ctx context.Context, to target, query func(protocol.ShardID, string) error) error {
	var result error
	for _, shard := range to.route.Shards {
		if isDone(ctx) {
			return moreUncertain(result, errTimeOver)
		}
		err := query(shard, to.id)
		if err == nil {
			return nil
		}
		result = moreUncertain(result, err)
	}
	return result
}

// moreUncertain returns the error that leaves more open whether a shard has the job. It prefers UnknownOutcome to any other
// error, and any other error to Gone. The first error may be nil.
func moreUncertain(a, b error) error {
	if a == nil || failure.KindOf(a) == failure.Gone || failure.KindOf(b) == failure.UnknownOutcome {
		return b
	}
	return a
}

// unavailableIfUnanswered returns the error that a client gets when a read has failed with err. A read has no effect, so the
// client may repeat it after an unknown outcome too: that becomes Unavailable.
func unavailableIfUnanswered(err error) error {
	if failure.KindOf(err) == failure.UnknownOutcome {
		return failure.Newf(failure.Unavailable, "no response from the shard's owner: %v", err)
	}
	return err
}
