package frontend

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"ospreypond/internal/cluster/deadline"
	"ospreypond/internal/cluster/failure"
	"ospreypond/internal/cluster/protocol"
)

// stalePause is how long a hand-in waits for a newer configuration before its owner is asked again.
const stalePause = 250 * time.Millisecond

// usualBodyBytes is how much of a body is made room for before it comes.
const usualBodyBytes = 16 << 10

var acceptedBody = []byte("{}")

// serveHandIn takes a job.
func (s *Service) serveHandIn(w *closingWriter, r *http.Request, arrived time.Time, target target) {
	body, err := readBody(w, r, target.view.maxBodyBytes())
	if err != nil {
		answerError(w, s.unlessAllowed(r, arrived, target, err))
		return
	}
	spec, err := parseSpec(body)
	if err != nil {
		answerError(w, err)
		return
	}
	ctx, cancel := s.within(r, arrived, target, handInTry)
	defer cancel()
	if err := s.handIn(ctx, arrived, r, spec); err != nil {
		answerError(w, err)
		return
	}
	answer(w, http.StatusOK, acceptedBody)
}

// unlessAllowed returns why a body was not taken. That it is too large is said only if no unseen version may allow it.
func (s *Service) unlessAllowed(r *http.Request, arrived time.Time, target target, err error) error {
	if failure.KindOf(err) != failure.TooLarge {
		return err
	}
	ctx, cancel := s.within(r, arrived, target, handInTry)
	defer cancel()
	if !s.confirm(ctx, s.exact) || s.Views.Current().maxBodyBytes() > target.view.maxBodyBytes() {
		return failure.New(failure.Unavailable, "a newer configuration may allow a body of this size")
	}
	return err
}

// readBody returns a request's body of at most limit bytes.
func readBody(w *closingWriter, r *http.Request, limit int64) ([]byte, error) {
	tooLarge := failure.Newf(failure.TooLarge, "a body may have at most %d bytes", limit)
	if r.ContentLength > limit {
		w.Header()["Connection"] = closeOnce // what is still to come is not read
		return nil, tooLarge
	}
	reader := http.MaxBytesReader(w.Unwrap(), r.Body, limit)
	body, err := readAll(reader, r.ContentLength)
	if err == nil {
		return body, nil
	}
	var over *http.MaxBytesError
	if errors.As(err, &over) {
		return nil, tooLarge
	}
	// A slow or broken link makes no job wrong: it may be sent again.
	return nil, failure.Newf(failure.Unavailable, "the body did not arrive whole: %v", err)
}

// readAll is io.ReadAll with room for the size that is announced, as far as that is usual.
func readAll(reader io.Reader, size int64) ([]byte, error) {
	var body bytes.Buffer
	body.Grow(int(min(max(size, 0), usualBodyBytes)) + bytes.MinRead)
	_, err := body.ReadFrom(reader)
	return body.Bytes(), err
}

// handIn brings a job to the owner of its queue's shard. Where the owner knows another configuration than this process,
// it starts again as soon as a newer one has come, or a little later: the owner may be the one that is behind.
func (s *Service) handIn(ctx context.Context, arrived time.Time, r *http.Request, spec *protocol.JobSpec) error {
	if err := s.confirmForHandIn(ctx); err != nil {
		return err
	}
	for {
		found, err := s.find(ctx, arrived, r)
		if err != nil {
			return err
		}
		err = s.handInto(ctx, found, spec)
		switch failure.KindOf(err) {
		case failure.Stale, failure.Moved:
			s.Directory.Refresh()
			if !s.awaitNewer(ctx, found.view.Version) {
				return err
			}
		default:
			return err
		}
	}
}

// awaitNewer waits a little for a view above version, and reports whether there is time to try again.
func (s *Service) awaitNewer(ctx context.Context, version uint64) bool {
	waiting, cancel := deadline.WithTimeout(ctx, s.Clock, stalePause)
	defer cancel()
	return s.Views.newerThan(waiting, version) || !s.late(ctx)
}

// late tells whether ctx has ended, or is about to by the clock.
func (s *Service) late(ctx context.Context) bool {
	deadline, bounded := ctx.Deadline()
	return over(ctx) || bounded && s.Clock.Until(deadline) <= 0
}

// confirmForHandIn refuses a job only if the configuration is so old that its queue may long have been dropped; the
// owner checks the rest by the version that travels with the job.
func (s *Service) confirmForHandIn(ctx context.Context) error {
	if s.confirm(ctx, s.calm) || s.Directory.Fresh(s.oldest) {
		return nil
	}
	return failure.New(failure.Unavailable, "the configuration held here may be out of date")
}

// handInto hands the job to the owner of the target's shard, after all shards that may have taken it earlier have
// either said that they have it or promised never to take it.
func (s *Service) handInto(ctx context.Context, to target, spec *protocol.JobSpec) error {
	for _, earlier := range to.route.Shards[1:] {
		fence := &protocol.FenceRequest{Shard: earlier, ID: to.id, ConfigurationVersion: to.view.Version}
		response, err := s.Owners.Fence(ctx, fence)
		if err != nil {
			return certainlyNotTaken(err)
		}
		if response.HasJob {
			return nil
		}
	}
	if over(ctx) {
		return failure.New(failure.Unavailable, "the time for this request is over")
	}
	_, err := s.Owners.Submit(ctx, &protocol.SubmitRequest{
		Shard:                to.route.Shards[0],
		ID:                   to.id,
		Queue:                to.route.Queue,
		Job:                  *spec,
		ConfigurationVersion: to.view.Version,
	})
	return err
}

// certainlyNotTaken is the error of a hand-in that ended at a fence: whether or not the fence was set, the job was
// taken by nobody.
func certainlyNotTaken(err error) error {
	if failure.KindOf(err) == failure.UnknownOutcome {
		return failure.Newf(failure.Unavailable, "an earlier shard of the queue doesn't answer: %v", err)
	}
	return err
}
