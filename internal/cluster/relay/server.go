package relay

import (
	"context"

	"ospreypond/internal/cluster/failure"
	"ospreypond/internal/cluster/protocol"
	"ospreypond/internal/cluster/transport"
)

// Register makes a server a relay. It calls targets through client, which must call them directly: a relay never asks
// another one. Only control processes are called: isKnown reports whether an address is that of one, and may be called by
// any goroutine.
func Register(server *transport.Server, client Client, isKnown func(address string) bool) {
	s := &service{client: client, isKnown: isKnown}
	transport.Handle(server, func(ctx context.Context, _ string, request *protocol.RelayRequest) (*protocol.RelayResponse, error) {
		return s.forward(ctx, request)
	})
}

// service forwards calls. It has no state and no responses of its own; a call ends with the time that its caller has.
type service struct {
	client  Client
	isKnown func(address string) bool
}

// forward makes the call in a request to a relay.
func (s *service) forward(ctx context.Context, request *protocol.RelayRequest) (*protocol.RelayResponse, error) {
	if !s.isKnown(request.Target) {
		return nil, failure.Newf(failure.Unavailable, "%s is no control process known here", request.Target)
	}
	response := &protocol.RelayResponse{}
	for _, kind := range relayedCalls {
		if made, err := kind.forward(ctx, s.client, request, response); made {
			return response, err
		}
	}
	return nil, failure.New(failure.Invalid, "nothing to be relayed")
}
