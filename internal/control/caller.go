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
	return callConfigurationOwner[protocol.ConfigureRequest, protocol.ConfigureResponse](ctx, o.control, attemptTimeFor(len(request.Body)), request, o.control.configure)
}

// ReadConfiguration passes a reading on.
func (o *ownerCaller) ReadConfiguration(ctx context.Context, request *protocol.ReadConfigurationRequest) (*protocol.ReadConfigurationResponse, error) {
	return callConfigurationOwner[protocol.ReadConfigurationRequest, protocol.ReadConfigurationResponse](ctx, o.control, attemptTime, request, o.control.readConfiguration)
}

// callConfigurationOwner tries the owner, here or elsewhere, until it answers or ctx ends. A try is given up after most.
func callConfigurationOwner[Req, Resp any](ctx context.Context, c *Control, most time.Duration, request *Req, local func(string, *Req, func(*Resp, error))) (*Resp, error) {
	try := func() (*Resp, error) { return tryConfigurationOwner(ctx, c, most, request, local) }
	pause := func() bool {
		select {
		case <-ctx.Done():
			return false
		case <-time.After(attemptGap):
			return true
		}
	}
	return untilClear(try, pause)
}

// untilClear tries until the answer is clear, or pause tells that there is no time for another try. What may have been
// done once is told so, whatever later tries say, unless one of them is clear.
func untilClear[Resp any](try func() (*Resp, error), pause func() bool) (*Resp, error) {
	var doubt error
	for {
		response, err := try()
		switch failure.KindOf(err) {
		case failure.None:
			return response, nil
		case failure.UnknownOutcome:
			doubt = err
		case failure.NotLeader, failure.Unavailable:
		case failure.Overloaded:
			return nil, firstOf(doubt, err) // nothing came of this try; what comes of an earlier one is open
		default:
			return nil, err
		}
		if !pause() {
			return nil, firstOf(doubt, failure.New(failure.Unavailable, "no owner of the configuration is reached"))
		}
	}
}

// attemptTimeFor is how long one try may take for an order of that many bytes. A second try is a second entry in the
// log: for a large order it must not come while the first one is on its way to the disks.
func attemptTimeFor(bytes int) time.Duration {
	return attemptTime + time.Duration(bytes/operatorBytesAMs)*time.Millisecond
}

func firstOf(doubt, err error) error {
	if doubt != nil {
		return doubt
	}
	return err
}

func tryConfigurationOwner[Req, Resp any](ctx context.Context, c *Control, most time.Duration, request *Req, local func(string, *Req, func(*Resp, error))) (*Resp, error) {
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
		attempt, cancel := context.WithTimeout(ctx, most)
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
	case <-time.After(most):
		return nil, failure.New(failure.UnknownOutcome, "the order is not committed in time")
	}
}
