package agent

import (
	"context"
	"encoding/json"
	"net/http"

	"ospreypond/internal/cluster/failure"
	"ospreypond/internal/cluster/httpjson"
	"ospreypond/internal/cluster/protocol"
)

// serveHeartbeat sends one heartbeat to the owner and responds with the owner's orders.
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
		// The owner that received the deregistration may have a successor that doesn't know of it. Without this change of
		// the heartbeat, the successor would start runs on a runner that is about to end.
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

// callOwnerWithHeartbeat sends a heartbeat to the owner of its shard, with the retries of callOwner.
func (s *Service) callOwnerWithHeartbeat(ctx context.Context, request *protocol.HeartbeatRequest) (response *protocol.HeartbeatResponse, err error) {
	err = s.callOwner(ctx, request.Shard, func(ctx context.Context) (err error) {
		response, err = s.owners.Heartbeat(ctx, request)
		return err
	})
	return response, err
}

// serveRegistration responds to the heartbeat of a runner that gets its orders by calls. It responds once the owner has
// received the heartbeat's content. The response has no orders.
func (s *Service) serveRegistration(ctx context.Context, w http.ResponseWriter, request *protocol.HeartbeatRequest) {
	if err := s.supervisor.register(ctx, request); err != nil {
		httpjson.WriteError(w, unavailableIfUnanswered(err))
		return
	}
	httpjson.Write(w, http.StatusOK, httpjson.EmptyObject)
}

// serveDeregister tells the owner of the service's shard that the runner is about to end as planned. If the runner's
// service is unknown, it tells the owners of all shards.
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

// shardsOf returns the shards with owners that may know a runner of service. An empty service is unknown: any shard may.
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

// unavailableIfUnanswered returns the error that a runner gets when a call of the owner has failed with err. A runner sends
// its next heartbeat in any case, and needs not know whether this one had an effect. An unknown outcome therefore becomes
// Unavailable. So does a Conflict: an attempt that is repeated after a lost response has the sequence of the first attempt,
// and the owner rejects it as no newer than that.
func unavailableIfUnanswered(err error) error {
	switch failure.KindOf(err) {
	case failure.UnknownOutcome:
		return failure.Newf(failure.Unavailable, "no response from the shard's owner: %v", err)
	case failure.Conflict:
		return failure.Newf(failure.Unavailable, "the shard's owner has received this heartbeat or a newer one before: %v", err)
	}
	return err
}

// readHeartbeat reads a heartbeat from the body of r and returns the request to the owner of its service's shard. It ignores
// unknown fields. The instance comes from the path.
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
		return nil, failure.New(failure.Invalid, "the heartbeat names no service")
	}
	request.Heartbeat.Instance = instance
	request.Shard = protocol.ShardOf(request.Heartbeat.Service)
	return request, nil
}

// readService returns the service that the body of a deregistration names, or "" if the body is empty or names none.
func readService(w http.ResponseWriter, r *http.Request) (string, error) {
	body, err := httpjson.ReadBody(w, r, maxBodyBytes)
	if err != nil || len(body) == 0 {
		return "", err
	}
	var deregistration struct {
		Service string `json:"service"`
	}
	if err := json.Unmarshal(body, &deregistration); err != nil {
		return "", failure.Newf(failure.Invalid, "the body of the deregistration is not a JSON object: %v", err)
	}
	return deregistration.Service, nil
}

// Usual sizes of the parts of a response. writeOrders allocates memory for them in advance; larger parts make it grow.
const (
	usualOrdersBytes = 512 // bytes of a response without starts
	usualStartBytes  = 256 // bytes of each start
)

// writeOrders responds to a runner's heartbeat with the owner's orders.
func writeOrders(w http.ResponseWriter, orders *protocol.Orders) {
	body := make([]byte, 0, usualOrdersBytes+len(orders.Start)*usualStartBytes)
	httpjson.Write(w, http.StatusOK, appendOrders(body, orders))
}
