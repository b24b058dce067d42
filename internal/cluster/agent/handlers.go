package agent

import (
	"context"
	"encoding/json"
	"net/http"

	"ospreypond/internal/cluster/failure"
	"ospreypond/internal/cluster/httpjson"
	"ospreypond/internal/cluster/protocol"
)

// serveHeartbeat carries one heartbeat to the owner and the owner's orders back.
func (s *Service) serveHeartbeat(ctx context.Context, w http.ResponseWriter, r *http.Request, instance string) {
	request, err := readHeartbeat(w, r, instance)
	if err != nil {
		httpjson.WriteError(w, err)
		return
	}
	if s.supervisor != nil {
		s.serveRegistration(ctx, w, request)
		return
	}
	ctx, heartbeat, ok := s.tracker.begin(ctx, instance, request.Heartbeat.Sequence)
	if !ok {
		httpjson.WriteError(w, failure.New(failure.Unavailable, errSuperseded.Error()))
		return
	}
	if s.tracker.isDeregistered(instance) {
		// The owner that knows this may have a successor by now, which would give the runner work.
		request.Heartbeat.State, request.Heartbeat.RemainingMs = protocol.RunnerDraining, 0
	}
	response, err := s.callOwnerWithHeartbeat(ctx, request)
	if isNewest := s.tracker.finish(instance, heartbeat); !isNewest {
		httpjson.WriteError(w, failure.New(failure.Unavailable, errSuperseded.Error()))
		return
	}
	if err != nil {
		httpjson.WriteError(w, unavailableIfUnanswered(err))
		return
	}
	writeOrders(w, &response.Orders)
}

// callOwnerWithHeartbeat carries a heartbeat to the owner of its shard.
func (s *Service) callOwnerWithHeartbeat(ctx context.Context, request *protocol.HeartbeatRequest) (response *protocol.HeartbeatResponse, err error) {
	err = s.callOwner(ctx, request.Shard, func(ctx context.Context) (err error) {
		response, err = s.owners.Heartbeat(ctx, request)
		return err
	})
	return response, err
}

// serveRegistration acknowledges the heartbeat of a runner that is called, once the owner has it.
func (s *Service) serveRegistration(ctx context.Context, w http.ResponseWriter, request *protocol.HeartbeatRequest) {
	if err := s.supervisor.register(ctx, request); err != nil {
		httpjson.WriteError(w, unavailableIfUnanswered(err))
		return
	}
	httpjson.Write(w, http.StatusOK, httpjson.EmptyObject)
}

// serveDeregister reports a planned end to the owner, and to the owners of all shards if the runner's service is unknown.
func (s *Service) serveDeregister(ctx context.Context, w http.ResponseWriter, r *http.Request, instance string) {
	service, err := readService(w, r)
	if err != nil {
		httpjson.WriteError(w, err)
		return
	}
	if service == "" {
		service = s.service
	}
	s.tracker.markDeregistered(instance)
	for _, shard := range shardsOf(service) {
		request := &protocol.DeregisterRequest{Shard: shard, Service: service, Instance: instance}
		err := s.callOwner(ctx, shard, func(ctx context.Context) error {
			_, err := s.owners.Deregister(ctx, request)
			return err
		})
		if err != nil {
			httpjson.WriteError(w, unavailableIfUnanswered(err))
			return
		}
	}
	if s.supervisor != nil {
		s.supervisor.deregister(instance)
	}
	httpjson.Write(w, http.StatusOK, httpjson.EmptyObject)
}

// shardsOf returns the shards that may know a runner of service: if that is unknown, all.
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

// unavailableIfUnanswered returns the error for a runner whose message has got no usable response from an owner. A runner
// sends its next heartbeat in any case, so it makes no difference to it whether this one had an effect: an unknown outcome
// is Unavailable, and so is the Conflict of a repeated heartbeat whose first response was lost.
func unavailableIfUnanswered(err error) error {
	switch failure.KindOf(err) {
	case failure.UnknownOutcome:
		return failure.Newf(failure.Unavailable, "no response from the owner: %v", err)
	case failure.Conflict:
		return failure.Newf(failure.Unavailable, "the owner's response to this heartbeat was lost: %v", err)
	}
	return err
}

// readHeartbeat reads a heartbeat for the owner of its service's shard. Unknown fields are ignored.
func readHeartbeat(w http.ResponseWriter, r *http.Request, instance string) (*protocol.HeartbeatRequest, error) {
	body, err := httpjson.ReadBody(w, r, maxBodyBytes)
	if err != nil {
		return nil, err
	}
	request := new(protocol.HeartbeatRequest)
	if err := parseHeartbeat(string(body), &request.Heartbeat); err != nil {
		return nil, failure.Newf(failure.Invalid, "the body is not a heartbeat: %v", err)
	}
	if request.Heartbeat.Service == "" {
		return nil, failure.New(failure.Invalid, "service is missing")
	}
	request.Heartbeat.Instance = instance
	request.Shard = protocol.ShardOf(request.Heartbeat.Service)
	return request, nil
}

// readService returns the service that the body of a deregistration names, "" if it names none.
func readService(w http.ResponseWriter, r *http.Request) (string, error) {
	body, err := httpjson.ReadBody(w, r, maxBodyBytes)
	if err != nil || len(body) == 0 {
		return "", err
	}
	var deregistration struct {
		Service string `json:"service"`
	}
	if err := json.Unmarshal(body, &deregistration); err != nil {
		return "", failure.Newf(failure.Invalid, "the body is not JSON: %v", err)
	}
	return deregistration.Service, nil
}

// Usual sizes of parts of a response, for which memory is allocated ahead.
const (
	usualOrdersBytes = 512 // without starts
	usualStartBytes  = 256 // each start
)

// writeOrders sends the owner's orders to a runner.
func writeOrders(w http.ResponseWriter, orders *protocol.Orders) {
	body := make([]byte, 0, usualOrdersBytes+len(orders.Start)*usualStartBytes)
	httpjson.Write(w, http.StatusOK, appendOrders(body, orders))
}
