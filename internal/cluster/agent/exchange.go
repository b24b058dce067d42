package agent

import (
	"bytes"
	"context"
	"io"
	"net/http"

	"github.com/pkg/errors"

	"ospreypond/internal/cluster/failure"
	"ospreypond/internal/cluster/protocol"
)

// serveHeartbeat carries one heartbeat to the owner and its orders back.
func (s *Service) serveHeartbeat(ctx context.Context, w http.ResponseWriter, r *http.Request, instance string) {
	request, err := readHeartbeat(w, r, instance)
	if err != nil {
		answerError(w, err)
		return
	}
	if s.caller != nil {
		s.acknowledge(ctx, w, request)
		return
	}
	ctx, entered, ok := s.beats.enter(ctx, instance, request.Heartbeat.Sequence)
	if !ok {
		answerError(w, failure.New(failure.Unavailable, errAbandoned.Error()))
		return
	}
	if s.beats.isEnding(instance) {
		// The owner that heard so may have a successor by now, which would give the runner work.
		request.Heartbeat.State, request.Heartbeat.RemainingMs = protocol.RunnerDraining, 0
	}
	var response *protocol.HeartbeatResponse
	err = s.attempt(ctx, request.Shard, func(ctx context.Context) (err error) {
		response, err = s.owners.Heartbeat(ctx, request)
		return err
	})
	if newest := s.beats.leave(instance, entered); !newest {
		answerError(w, failure.New(failure.Unavailable, errAbandoned.Error()))
		return
	}
	if err != nil {
		answerError(w, refused(err))
		return
	}
	answerOrders(w, &response.Orders)
}

// acknowledge answers the heartbeat of a runner that is called, once the owner has it.
func (s *Service) acknowledge(ctx context.Context, w http.ResponseWriter, request *protocol.HeartbeatRequest) {
	if err := s.caller.register(ctx, request); err != nil {
		answerError(w, refused(err))
		return
	}
	answer(w, http.StatusOK, emptyBody)
}

// serveDeregister carries a planned end to the owner. A runner that doesn't name its service is looked for in all
// shards.
func (s *Service) serveDeregister(ctx context.Context, w http.ResponseWriter, r *http.Request, instance string) {
	service, err := readService(w, r)
	if err != nil {
		answerError(w, err)
		return
	}
	if service == "" {
		service = s.service
	}
	s.beats.end(instance)
	for _, shard := range shardsOf(service) {
		request := &protocol.DeregisterRequest{Shard: shard, Service: service, Instance: instance}
		err := s.attempt(ctx, shard, func(ctx context.Context) error {
			_, err := s.owners.Deregister(ctx, request)
			return err
		})
		if err != nil {
			answerError(w, refused(err))
			return
		}
	}
	if s.caller != nil {
		s.caller.leave(instance)
	}
	answer(w, http.StatusOK, emptyBody)
}

// shardsOf returns the shards that may know a runner of service; of an unknown service all may.
func shardsOf(service string) []protocol.ShardID {
	if service != "" {
		return []protocol.ShardID{protocol.ShardOf(service)}
	}
	all := make([]protocol.ShardID, protocol.JobShards)
	for i := range all {
		all[i] = protocol.ShardID(i + 1)
	}
	return all
}

// refused is the answer to a runner whose message no owner has answered. A runner sends its next heartbeat in any case,
// so that it doesn't matter to it whether this one had an effect: neither an unknown outcome, nor that the owner has
// had this heartbeat already, and its answer is lost.
func refused(err error) error {
	switch failure.KindOf(err) {
	case failure.UnknownOutcome:
		return failure.Newf(failure.Unavailable, "no answer from the owner: %v", err)
	case failure.Conflict:
		return failure.Newf(failure.Unavailable, "the owner's answer to this heartbeat is lost: %v", err)
	}
	return err
}

// readBody returns a call's body within its bound.
func readBody(w http.ResponseWriter, r *http.Request) ([]byte, error) {
	if r.ContentLength > maxBodyBytes {
		w.Header().Set("Connection", "close") // what is still to come is not read
		return nil, failure.Newf(failure.TooLarge, "a body may have at most %d bytes", maxBodyBytes)
	}
	body, err := readAll(http.MaxBytesReader(w, r.Body, maxBodyBytes), r.ContentLength)
	if err == nil {
		return body, nil
	}
	var over *http.MaxBytesError
	if errors.As(err, &over) {
		return nil, failure.Newf(failure.TooLarge, "a body may have at most %d bytes", maxBodyBytes)
	}
	// A slow or broken link makes no message wrong: it may be sent again.
	return nil, failure.Newf(failure.Unavailable, "the body did not arrive whole: %v", err)
}

// readAll is io.ReadAll with room for the size that is announced, as far as that is usual.
func readAll(reader io.Reader, size int64) ([]byte, error) {
	var body bytes.Buffer
	body.Grow(int(min(max(size, 0), usualBodyBytes)) + bytes.MinRead)
	_, err := body.ReadFrom(reader)
	return body.Bytes(), err
}
