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
	attemptTimeout       = 350 * time.Millisecond // for one attempt to call the owner; see attemptTimeoutFor
	attemptRetryInterval = 50 * time.Millisecond  // from the end of an attempt to the next one
)

// ownerCaller is an OwnerCaller that finds the owner by this process's replica of the configuration's shard.
type ownerCaller struct{ control *Control }

var _ OwnerCaller = (*ownerCaller)(nil)

// Operator returns the handler of the operator's HTTP interface. Any goroutine may use it once the engine runs.
func (c *Control) Operator() http.Handler {
	operator := NewOperator(&ownerCaller{c}, c.logger)
	operator.Clock = c.clock
	return operator
}

// Configure calls the owner to change the configuration.
func (o *ownerCaller) Configure(ctx context.Context, request *protocol.ConfigureRequest) (*protocol.ConfigureResponse, error) {
	return callConfigurationOwner[protocol.ConfigureRequest, protocol.ConfigureResponse](ctx, o.control, attemptTimeoutFor(len(request.Body)), request, o.control.configure)
}

// ReadConfiguration calls the owner to read the configuration.
func (o *ownerCaller) ReadConfiguration(ctx context.Context, request *protocol.ReadConfigurationRequest) (*protocol.ReadConfigurationResponse, error) {
	return callConfigurationOwner[protocol.ReadConfigurationRequest, protocol.ReadConfigurationResponse](ctx, o.control, attemptTimeout, request, o.control.readConfiguration)
}

// callConfigurationOwner calls the owner, which may be this process, until the outcome is known or ctx ends. Each attempt
// has the given timeout. local serves the request if this process is the owner.
func callConfigurationOwner[Req, Resp any](ctx context.Context, c *Control, timeout time.Duration, request *Req, local func(string, *Req, func(*Resp, error))) (*Resp, error) {
	attempt := func() (*Resp, error) { return attemptConfigurationOwner(ctx, c, timeout, request, local) }
	wait := func() bool {
		interval, cancel := deadline.WithTimeout(ctx, c.clock, attemptRetryInterval)
		defer cancel()
		<-interval.Done()
		return ctx.Err() == nil
	}
	return retryUntilDecided(attempt, wait)
}

// retryUntilDecided repeats attempt until its outcome is final, or until wait reports that no time is left for a further
// attempt:
//   - A response, and any error of a kind not named below, is final. The log has decided it, and the attempt's entry in the
//     log comes after the entries that earlier attempts may have added.
//   - UnknownOutcome: the attempt may have changed the configuration. It is repeated. If no later attempt has a final
//     outcome, the outcome of the call is unknown too.
//   - NotLeader, Unavailable, TooLarge: the attempt had no effect. It is repeated, because another process may have become
//     the owner, or the owner may accept a request that one connection couldn't carry.
//   - Overloaded: the attempt had no effect and is not repeated. An unknown outcome of an earlier attempt stays unknown.
//
// Only the process that serves the operator repeats a request. A process that gets a request for the owner never forwards
// it, so two processes that each take the other for the owner can't send it back and forth.
func retryUntilDecided[Resp any](attempt func() (*Resp, error), wait func() bool) (*Resp, error) {
	var unknownOutcome error
	for {
		response, err := attempt()
		switch failure.KindOf(err) {
		case failure.None:
			return response, nil
		case failure.UnknownOutcome:
			unknownOutcome = err
		case failure.NotLeader, failure.Unavailable, failure.TooLarge:
		case failure.Overloaded:
			return nil, firstError(unknownOutcome, err)
		default:
			return nil, err
		}
		if !wait() {
			return nil, firstError(unknownOutcome, failure.New(failure.Unavailable, "no owner of the configuration is reached"))
		}
	}
}

// attemptTimeoutFor returns the timeout of one attempt at a change of this size. A repeated attempt adds a second entry to
// the log. For a large change, this must not happen while the first entry is still being sent and written to disk.
func attemptTimeoutFor(bytes int) time.Duration {
	return attemptTimeout + extraTimeForSize(bytes)
}

// firstError returns a or, if a is nil, b.
func firstError(a, b error) error {
	if a != nil {
		return a
	}
	return b
}

// localAttempt is the result of an attempt on this process's loop: either the outcome or the address of the owner to call.
type localAttempt[Resp any] struct {
	owner    string // internal address of the owner, another process; empty: response and err are the outcome
	response *Resp
	err      error
}

// attemptConfigurationOwner calls the owner once: with local if this process is the owner, else over the network.
func attemptConfigurationOwner[Req, Resp any](ctx context.Context, c *Control, timeout time.Duration, request *Req, local func(string, *Req, func(*Resp, error))) (*Resp, error) {
	ctx, cancel := deadline.WithTimeout(ctx, c.clock, timeout)
	defer cancel()
	attempted := make(chan localAttempt[Resp], 1)
	c.engine.Do(func() {
		if ctx.Err() != nil {
			return // the attempt timed out before the loop ran this, as after a freeze: it must no longer start
		}
		if c.configuration.leading {
			local("", request, func(response *Resp, err error) { attempted <- localAttempt[Resp]{response: response, err: err} })
			return
		}
		owner := leaderHint(c.engine, c.configuration.group())
		if owner == "" {
			attempted <- localAttempt[Resp]{err: failure.New(failure.NotLeader, "the owner of the configuration is not known")}
			return
		}
		attempted <- localAttempt[Resp]{owner: owner}
	})
	select {
	case <-ctx.Done(): // the loop may have started the attempt before this
		return nil, failure.New(failure.UnknownOutcome, "the call of the configuration's owner timed out")
	case attempt := <-attempted:
		if attempt.owner == "" {
			return attempt.response, attempt.err
		}
		response := new(Resp)
		if err := c.options.Remote.Do(ctx, attempt.owner, request, response); err != nil {
			return nil, err
		}
		return response, nil
	}
}
