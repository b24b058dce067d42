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

// serveStatus responds with a job's state.
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

// serveCancel cancels a job.
func (s *Service) serveCancel(ctx context.Context, w http.ResponseWriter, r *http.Request, arrived time.Time, to target) {
	ctx, cancel := s.withBudget(ctx, r, arrived, to, maxQueryTime)
	defer cancel()
	err := s.queryEach(ctx, arrived, r, to, func(shard protocol.ShardID, id string) error {
		_, err := s.Owners.Cancel(ctx, &protocol.CancelRequest{Shard: shard, ID: id})
		return err
	})
	if err != nil {
		httpjson.WriteError(w, err)
		return
	}
	httpjson.Write(w, http.StatusOK, httpjson.EmptyObject)
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

// pending sums the queue's jobs over its shards. A queue that a version unknown here may have dropped isn't counted.
func (s *Service) pending(ctx context.Context, arrived time.Time, r *http.Request) (int, error) {
	if !s.confirm(ctx, s.maxAgeExact) {
		return 0, failure.New(failure.Unavailable, "it is not known whether a newer configuration has this queue")
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

// queryEach queries the shards that may have the job, the present one first, until one has it. It returns Gone, that none
// has it, only if each has said so and no version that was in force when the request arrived names another shard.
func (s *Service) queryEach(ctx context.Context, arrived time.Time, r *http.Request, to target, query func(protocol.ShardID, string) error) error {
	for {
		err := queryShards(ctx, to, query)
		if failure.KindOf(err) != failure.Gone {
			return err
		}
		if !s.confirmSince(ctx, arrived) {
			return failure.New(failure.Unavailable, "it is not known whether a newer configuration has moved this queue")
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

// queryShards queries each of the target's shards until one has the job. Its error is Gone only if all said so, and
// UnknownOutcome if any may have done what it was asked to.
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

// moreUncertain returns the one of two errors that says less about what was done: UnknownOutcome first, Gone last.
func moreUncertain(a, b error) error {
	if a == nil || failure.KindOf(a) == failure.Gone || failure.KindOf(b) == failure.UnknownOutcome {
		return b
	}
	return a
}

// unavailableIfUnanswered returns the error of a read: without a response it has done nothing, and may be repeated.
func unavailableIfUnanswered(err error) error {
	if failure.KindOf(err) == failure.UnknownOutcome {
		return failure.Newf(failure.Unavailable, "no response from the owner: %v", err)
	}
	return err
}
