package relay

import (
	"context"

	"ospreypond/internal/cluster/failure"
	"ospreypond/internal/cluster/protocol"
	"ospreypond/internal/cluster/transport"
)

// Register has a server relay calls, by a client that reaches targets directly: a relay never asks another one. Only
// control processes are called, as known tells them.
func Register(server *transport.Server, client Client, known func(address string) bool) {
	s := &service{client: client, known: known}
	transport.Handle(server, func(ctx context.Context, _ string, request *protocol.RelayRequest) (*protocol.RelayResponse, error) {
		return s.carry(ctx, request)
	})
}

// service carries calls. It keeps nothing, answers nothing by itself, and ends with the time that its caller has.
type service struct {
	client Client
	known  func(address string) bool
}

// carry makes the call that a request asks for.
func (s *service) carry(ctx context.Context, r *protocol.RelayRequest) (*protocol.RelayResponse, error) {
	if !s.known(r.Target) {
		return nil, failure.Newf(failure.Unavailable, "%s is no control process known here", r.Target)
	}
	brought := &protocol.RelayResponse{}
	switch {
	case r.Ping != nil:
		return brought, pass(ctx, s, r, r.Ping, &brought.Ping)
	case r.Heartbeat != nil:
		r.Heartbeat.Heartbeat.Relayed = true
		return brought, pass(ctx, s, r, r.Heartbeat, &brought.Heartbeat)
	case r.Deregister != nil:
		return brought, pass(ctx, s, r, r.Deregister, &brought.Deregister)
	case r.Submit != nil:
		return brought, pass(ctx, s, r, r.Submit, &brought.Submit)
	case r.Fence != nil:
		return brought, pass(ctx, s, r, r.Fence, &brought.Fence)
	case r.Status != nil:
		return brought, pass(ctx, s, r, r.Status, &brought.Status)
	case r.Cancel != nil:
		return brought, pass(ctx, s, r, r.Cancel, &brought.Cancel)
	case r.Pending != nil:
		return brought, pass(ctx, s, r, r.Pending, &brought.Pending)
	case r.Watch != nil:
		brought.Watch = &protocol.WatchResponse{}
		return brought, s.client.DoLong(ctx, r.Target, r.Watch, brought.Watch)
	default:
		return nil, failure.New(failure.Invalid, "nothing to be relayed")
	}
}

// pass makes a call whose answer is not held back.
func pass[Req, Resp any](ctx context.Context, s *service, r *protocol.RelayRequest, request *Req, brought **Resp) error {
	*brought = new(Resp)
	return s.client.Do(ctx, r.Target, request, *brought)
}
