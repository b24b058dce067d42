package control

import (
	"context"
	"net/http"
	"time"

	"ospreypond/internal/failure"
	"ospreypond/internal/protocol"
	"ospreypond/internal/transport"
)

const (
	attemptTime = 350 * time.Millisecond // for one try at one owner, but for large orders
	attemptGap  = 50 * time.Millisecond
)

// ownerCaller finds the configuration's owner as this process's own replica knows it.
type ownerCaller struct{ control *Control }

var _ OwnerCaller = (*ownerCaller)(nil)

func (c *Control) operator() http.Handler { return NewOperator(&ownerCaller{c}, c.logger) }

// Configure passes an order on.
func (o *ownerCaller) Configure(ctx context.Context, request *protocol.ConfigureRequest) (*protocol.ConfigureResponse, error) {
	return callConfigurationOwner[protocol.ConfigureRequest, protocol.ConfigureResponse](ctx, o.control, request, o.control.configure)
}

// ReadConfiguration passes a reading on.
func (o *ownerCaller) ReadConfiguration(ctx context.Context, request *protocol.ReadConfigurationRequest) (*protocol.ReadConfigurationResponse, error) {
	return callConfigurationOwner[protocol.ReadConfigurationRequest, protocol.ReadConfigurationResponse](ctx, o.control, request, o.control.readConfiguration)
}

// callConfigurationOwner tries the owner, here or elsewhere, until it answers or ctx ends. What may have been done once
// is told so, whatever later tries say, unless one of them is clear.
func callConfigurationOwner[Req, Resp any](ctx context.Context, c *Control, request *Req, local func(string, *Req, func(*Resp, error))) (*Resp, error) {
	var doubt error
	for {
		response, err := tryConfigurationOwner(ctx, c, request, local)
		switch failure.KindOf(err) {
		case failure.None:
			return response, nil
		case failure.UnknownOutcome:
			doubt = err
		case failure.NotLeader, failure.Unavailable:
		default:
			return nil, err
		}
		select {
		case <-ctx.Done():
			if doubt != nil {
				return nil, doubt
			}
			return nil, failure.New(failure.Unavailable, "no owner of the configuration is reached")
		case <-time.After(attemptGap):
		}
	}
}

func tryConfigurationOwner[Req, Resp any](ctx context.Context, c *Control, request *Req, local func(string, *Req, func(*Resp, error))) (*Resp, error) {
	type outcome struct {
		response *Resp
		err      error
	}
	type place struct {
		here    bool
		address string
	}
	found := make(chan place, 1)
	answered := make(chan outcome, 1)
	c.engine.Do(func() {
		if c.configuration.leading {
			found <- place{here: true}
			local("", request, func(response *Resp, err error) { answered <- outcome{response, err} })
			return
		}
		found <- place{address: c.leaderHint(c.configuration.group())}
	})
	select {
	case owner := <-found:
		if owner.here {
			break
		}
		if owner.address == "" {
			return nil, failure.New(failure.NotLeader, "the owner is not known")
		}
		attempt, cancel := context.WithTimeout(ctx, attemptTime)
		defer cancel()
		return transport.Call[Req, Resp](attempt, c.client, owner.address, request)
	case <-ctx.Done():
		return nil, failure.New(failure.Unavailable, "the process is busy")
	}
	select {
	case o := <-answered:
		return o.response, o.err
	case <-ctx.Done():
		return nil, failure.New(failure.UnknownOutcome, "the order is not committed in time")
	case <-time.After(attemptTime):
		return nil, failure.New(failure.UnknownOutcome, "the order is not committed in time")
	}
}
