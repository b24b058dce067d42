package relay

import (
	"ospreypond/internal/cluster/failure"
	"ospreypond/internal/cluster/protocol"
)

// wrap returns the request to a relay that makes the call, nil for a call that isn't relayed.
func wrap(target string, request any) *protocol.RelayRequest {
	wrapped := &protocol.RelayRequest{Target: target}
	switch r := request.(type) {
	case *protocol.PingRequest:
		wrapped.Ping = r
	case *protocol.HeartbeatRequest:
		wrapped.Heartbeat = r
	case *protocol.DeregisterRequest:
		wrapped.Deregister = r
	case *protocol.SubmitRequest:
		wrapped.Submit = r
	case *protocol.FenceRequest:
		wrapped.Fence = r
	case *protocol.StatusRequest:
		wrapped.Status = r
	case *protocol.CancelRequest:
		wrapped.Cancel = r
	case *protocol.PendingRequest:
		wrapped.Pending = r
	case *protocol.WatchRequest:
		wrapped.Watch = r
	default:
		return nil
	}
	return wrapped
}

// unwrap sets response, a pointer to the type that answers the request, to what a relay has brought.
func unwrap(brought *protocol.RelayResponse, response any) error {
	found := false
	switch r := response.(type) {
	case *protocol.PingResponse:
		found = set(r, brought.Ping)
	case *protocol.HeartbeatResponse:
		found = set(r, brought.Heartbeat)
	case *protocol.DeregisterResponse:
		found = set(r, brought.Deregister)
	case *protocol.SubmitResponse:
		found = set(r, brought.Submit)
	case *protocol.FenceResponse:
		found = set(r, brought.Fence)
	case *protocol.StatusResponse:
		found = set(r, brought.Status)
	case *protocol.CancelResponse:
		found = set(r, brought.Cancel)
	case *protocol.PendingResponse:
		found = set(r, brought.Pending)
	case *protocol.WatchResponse:
		found = set(r, brought.Watch)
	}
	if !found {
		return failure.Newf(failure.UnknownOutcome, "a relay brought no %T", response)
	}
	return nil
}

func set[T any](response, brought *T) bool {
	if brought == nil {
		return false
	}
	*response = *brought
	return true
}
