package frontend

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"ospreypond/internal/cluster/failure"
	"ospreypond/internal/cluster/protocol"
)

var cancelledBody = []byte("{}")

// serveStatus tells a job's state.
func (s *Service) serveStatus(w http.ResponseWriter, r *http.Request, arrived time.Time, to target) {
	ctx, cancel := s.within(r, arrived, to, askTry)
	defer cancel()
	var state protocol.JobState
	err := s.askEach(ctx, arrived, r, to, func(shard protocol.ShardID, id string) error {
		response, err := s.Owners.Status(ctx, &protocol.StatusRequest{Shard: shard, ID: id})
		if err != nil {
			return err
		}
		state = response.State
		return nil
	})
	if err != nil {
		answerError(w, unread(err))
		return
	}
	answer(w, http.StatusOK, []byte(`{"state":"`+string(state)+`"}`))
}

// serveCancel cancels a job.
func (s *Service) serveCancel(w http.ResponseWriter, r *http.Request, arrived time.Time, to target) {
	ctx, cancel := s.within(r, arrived, to, askTry)
	defer cancel()
	err := s.askEach(ctx, arrived, r, to, func(shard protocol.ShardID, id string) error {
		_, err := s.Owners.Cancel(ctx, &protocol.CancelRequest{Shard: shard, ID: id})
		return err
	})
	if err != nil {
		answerError(w, err)
		return
	}
	answer(w, http.StatusOK, cancelledBody)
}

// servePending counts a queue's jobs that have not ended.
func (s *Service) servePending(w http.ResponseWriter, r *http.Request, arrived time.Time, to target) {
	ctx, cancel := s.within(r, arrived, to, askTry)
	defer cancel()
	pending, err := s.pending(ctx, arrived, r)
	if err != nil {
		answerError(w, unread(err))
		return
	}
	answer(w, http.StatusOK, []byte(`{"pending":`+strconv.Itoa(pending)+`}`))
}

// pending sums the queue over its shards. A queue that an unseen version may have dropped isn't counted.
func (s *Service) pending(ctx context.Context, arrived time.Time, r *http.Request) (int, error) {
	if !s.confirm(ctx, s.exact) {
		return 0, failure.New(failure.Unavailable, "it is not known whether a newer configuration has this queue")
	}
	to, err := s.find(ctx, arrived, r)
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

// askEach asks the shards that may have the job, the present one first, until one has it. That none has it, Gone, is
// said only if each has said so and no version that was in force when the request came names another.
func (s *Service) askEach(ctx context.Context, arrived time.Time, r *http.Request, to target, ask func(protocol.ShardID, string) error) error {
	for {
		err := askShards(ctx, to, ask)
		if failure.KindOf(err) != failure.Gone {
			return err
		}
		if !s.confirmSince(ctx, arrived) {
			return failure.New(failure.Unavailable, "it is not known whether a newer configuration has moved this queue")
		}
		newest, findErr := s.find(ctx, arrived, r)
		if findErr != nil {
			return findErr
		}
		if newest.view.Version == to.view.Version {
			return err
		}
		to = newest
	}
}

// askShards asks each of the target's shards until one has the job. Its error is Gone only if all said so, and
// UnknownOutcome if any may have done what it was asked.
func askShards(ctx context.Context, to target, ask func(protocol.ShardID, string) error) error {
	var worst error
	for _, shard := range to.route.Shards {
		if over(ctx) {
			return graver(worst, failure.New(failure.Unavailable, "the time for this request is over"))
		}
		err := ask(shard, to.id)
		if err == nil {
			return nil
		}
		worst = graver(worst, err)
	}
	return worst
}

// graver returns which of two errors says less about what was done: unknown outcomes first, Gone last.
func graver(a, b error) error {
	if a == nil || failure.KindOf(a) == failure.Gone || failure.KindOf(b) == failure.UnknownOutcome {
		return b
	}
	return a
}

// unread is the error of a question: one without an answer has done nothing, and can be asked again.
func unread(err error) error {
	if failure.KindOf(err) == failure.UnknownOutcome {
		return failure.Newf(failure.Unavailable, "no answer from the owner: %v", err)
	}
	return err
}
