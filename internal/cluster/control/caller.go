package control

import (
	"context"
	"net/http"
	"time"

	"ospreypond/internal/cluster/deadline"
	"ospreypond/internal/cluster/failure"
	"ospreypond/internal/cluster/protocol"
)

const (
	attemptTime = 350 * time.Millisecond // for one try at one owner, but for large orders
	attemptGap  = 50 * time.Millisecond
)

// ownerCaller finds the configuration's owner as this process's own replica knows it.
type ownerCaller struct{ control *Control }

var _ OwnerCaller = (*ownerCaller)(nil)

// Operator is the handler of the operator's interface.
func (c *Control) Operator() http.Handler {
	operator := NewOperator(&ownerCaller{c}, c.logger)
	operator.Clock = c.clock
	return operator
}

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
		gap, cancel := deadline.WithTimeout(ctx, c.clock, attemptGap)
		defer cancel()
		<-gap.Done()
		return ctx.Err() == nil
	}
	return untilClear(try, pause)
}

// untilClear tries until the answer is clear, or pause tells that there is no time for another try. What may have been
// done once is told so, whatever later tries say, unless one of them is clear. Only the log's own word is a refusal: an
// entry that came to nothing stands behind all that earlier tries may have left there. What one process or link cannot
// do now, another may. A process that is asked for the owner passes nothing on: two that each take the other for the
// owner send an order to and fro only by the tries of the one that serves the operator.
func untilClear[Resp any](try func() (*Resp, error), pause func() bool) (*Resp, error) {
	var doubt error
	for {
		response, err := try()
		switch failure.KindOf(err) {
		case failure.None:
			return response, nil
		case failure.UnknownOutcome:
			doubt = err
		case failure.NotLeader, failure.Unavailable, failure.TooLarge:
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
	return attemptTime + sizeTime(bytes)
}

func firstOf(doubt, err error) error {
	if doubt != nil {
		return doubt
	}
	return err
}

// localTry is what became of a try once this process's loop has looked at it.
type localTry[Resp any] struct {
	owner    string // internal address of the owner; empty: this process, or nobody
	response *Resp
	err      error
}

func tryConfigurationOwner[Req, Resp any](ctx context.Context, c *Control, most time.Duration, request *Req, local func(string, *Req, func(*Resp, error))) (*Resp, error) {
	ctx, cancel := deadline.WithTimeout(ctx, c.clock, most)
	defer cancel()
	tried := make(chan localTry[Resp], 1)
	c.engine.Do(func() {
		if ctx.Err() != nil {
			return // the try has been given up, as after a freeze: nothing is begun for it any more
		}
		if c.configuration.leading {
			local("", request, func(response *Resp, err error) { tried <- localTry[Resp]{response: response, err: err} })
			return
		}
		owner := c.leaderHint(c.configuration.group())
		if owner == "" {
			tried <- localTry[Resp]{err: failure.New(failure.NotLeader, "the owner is not known")}
			return
		}
		tried <- localTry[Resp]{owner: owner}
	})
	select {
	case <-ctx.Done(): // the loop may have begun it a moment ago
		return nil, failure.New(failure.UnknownOutcome, "there is no outcome in time")
	case try := <-tried:
		if try.owner == "" {
			return try.response, try.err
		}
		response := new(Resp)
		if err := c.options.Remote.Do(ctx, try.owner, request, response); err != nil {
			return nil, err
		}
		return response, nil
	}
}
