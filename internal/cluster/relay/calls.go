package relay

import (
	"context"

	"ospreypond/internal/cluster/failure"
	"ospreypond/internal/cluster/protocol"
)

// relayedCall handles one type of call that may be relayed. RelayRequest and RelayResponse have one field for each type.
type relayedCall interface {
	// wrap stores request in its field of wrapped. It reports whether request is of this type.
	wrap(request any, wrapped *protocol.RelayRequest) bool
	// unwrap copies the response in relayed to response. It reports whether response is of this type and relayed has one.
	unwrap(relayed *protocol.RelayResponse, response any) bool
	// forward makes the call if wrapped has a request of this type, and stores the response in relayed. It reports
	// whether it made the call, and returns the call's error.
	forward(ctx context.Context, client Client, wrapped *protocol.RelayRequest, relayed *protocol.RelayResponse) (bool, error)
}

// callKind is the relayedCall whose request and response are stored in the fields that its functions return.
type callKind[Req, Resp any] struct {
	request  func(*protocol.RelayRequest) **Req
	response func(*protocol.RelayResponse) **Resp
}

// relayedCalls are all types of calls that may be relayed. Executing any of these calls twice must be harmless, see the
// package comment.
var relayedCalls = []relayedCall{
	callKind[protocol.PingRequest, protocol.PingResponse]{
		func(r *protocol.RelayRequest) **protocol.PingRequest { return &r.Ping },
		func(r *protocol.RelayResponse) **protocol.PingResponse { return &r.Ping },
	},
	callKind[protocol.HeartbeatRequest, protocol.HeartbeatResponse]{
		func(r *protocol.RelayRequest) **protocol.HeartbeatRequest { return &r.Heartbeat },
		func(r *protocol.RelayResponse) **protocol.HeartbeatResponse { return &r.Heartbeat },
	},
	callKind[protocol.DeregisterRequest, protocol.DeregisterResponse]{
		func(r *protocol.RelayRequest) **protocol.DeregisterRequest { return &r.Deregister },
		func(r *protocol.RelayResponse) **protocol.DeregisterResponse { return &r.Deregister },
	},
	callKind[protocol.SubmitRequest, protocol.SubmitResponse]{
		func(r *protocol.RelayRequest) **protocol.SubmitRequest { return &r.Submit },
		func(r *protocol.RelayResponse) **protocol.SubmitResponse { return &r.Submit },
	},
	callKind[protocol.FenceRequest, protocol.FenceResponse]{
		func(r *protocol.RelayRequest) **protocol.FenceRequest { return &r.Fence },
		func(r *protocol.RelayResponse) **protocol.FenceResponse { return &r.Fence },
	},
	callKind[protocol.StatusRequest, protocol.StatusResponse]{
		func(r *protocol.RelayRequest) **protocol.StatusRequest { return &r.Status },
		func(r *protocol.RelayResponse) **protocol.StatusResponse { return &r.Status },
	},
	callKind[protocol.CancelRequest, protocol.CancelResponse]{
		func(r *protocol.RelayRequest) **protocol.CancelRequest { return &r.Cancel },
		func(r *protocol.RelayResponse) **protocol.CancelResponse { return &r.Cancel },
	},
	callKind[protocol.PendingRequest, protocol.PendingResponse]{
		func(r *protocol.RelayRequest) **protocol.PendingRequest { return &r.Pending },
		func(r *protocol.RelayResponse) **protocol.PendingResponse { return &r.Pending },
	},
	callKind[protocol.WatchRequest, protocol.WatchResponse]{
		func(r *protocol.RelayRequest) **protocol.WatchRequest { return &r.Watch },
		func(r *protocol.RelayResponse) **protocol.WatchResponse { return &r.Watch },
	},
}

func (k callKind[Req, Resp]) wrap(request any, wrapped *protocol.RelayRequest) bool {
	own, ok := request.(*Req)
	if ok {
		*k.request(wrapped) = own
	}
	return ok
}

func (k callKind[Req, Resp]) unwrap(relayed *protocol.RelayResponse, response any) bool {
	own, ok := response.(*Resp)
	returned := *k.response(relayed)
	if !ok || returned == nil {
		return false
	}
	*own = *returned
	return true
}

func (k callKind[Req, Resp]) forward(ctx context.Context, client Client, wrapped *protocol.RelayRequest,
	relayed *protocol.RelayResponse) (bool, error) {
	request := *k.request(wrapped)
	if request == nil {
		return false, nil
	}
	response := new(Resp)
	*k.response(relayed) = response
	call := client.Do
	switch own := any(request).(type) {
	case *protocol.HeartbeatRequest:
		own.Heartbeat.Relayed = true
	case *protocol.WatchRequest:
		call = client.DoLong // a long poll: the owner delays its response
	}
	return true, call(ctx, wrapped.Target, request, response)
}

// wrap returns the request that asks a relay to call target, or nil if calls with this type of request are not relayed.
func wrap(target string, request any) *protocol.RelayRequest {
	wrapped := &protocol.RelayRequest{Target: target}
	for _, kind := range relayedCalls {
		if kind.wrap(request, wrapped) {
			return wrapped
		}
	}
	return nil
}

// unwrap copies the response that a relay returned to response, a pointer to the response type of the call. A relay of
// another version may return a different type or no response. The outcome is then unknown: the target may have executed
// the call.
func unwrap(relayed *protocol.RelayResponse, response any) error {
	for _, kind := range relayedCalls {
		if kind.unwrap(relayed, response) {
			return nil
		}
	}
	return failure.Newf(failure.UnknownOutcome, "the relay's response contains no %T", response)
}
