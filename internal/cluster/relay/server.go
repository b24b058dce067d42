package relay

import (
	"context"

	"ospreypond/internal/cluster/failure"
	"ospreypond/internal/cluster/protocol"
	"ospreypond/internal/cluster/transport"
)

// Register makes a server a relay: it registers the handler of protocol.RelayRequest. client must call targets directly,
// not through a Caller, so that no call passes through two relays or in a circle. isKnown reports whether an address
// belongs to a control process; the relay refuses other targets. isKnown may be called by many goroutines at once.
func Register(server *transport.Server, client Client, isKnown func(address string) bool) {
	s := &service{client: client, isKnown: isKnown}
	transport.Handle(server, func(ctx context.Context, _ string, request *protocol.RelayRequest) (*protocol.RelayResponse, error) {
		return s.forward(ctx, request)
	})
}

// service forwards calls for a relay. It keeps no state. A forwarded call ends at its caller's deadline, which the transport
// passes on in ctx.
type service struct {
	client  Client
	isKnown func(address string) bool
}

// forward makes the call that request contains and returns the target's response or error.
func (s *service) forward(ctx context.Context, request *protocol.RelayRequest) (*protocol.RelayResponse, error) {
	if !s.isKnown(request.Target) {
		return nil, failure.Newf(failure.Unavailable, "this relay knows no control process at %s", request.Target)
	}
	response := &protocol.RelayResponse{}
	for _, kind := range relayedCalls {
		if made, err := kind.forward(ctx, s.client, request, response); made {
			return response, err
		}
	}
	return nil, failure.New(failure.Invalid, "the request to the relay contains no call")
}
