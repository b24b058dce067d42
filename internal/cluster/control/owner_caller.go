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
	attemptTimeout       = 350 * time.Millisecond // of one attempt; large changes get more
	attemptRetryInterval = 50 * time.Millisecond
)

// ownerCaller reaches the configuration's owner by what this process's own replica knows of it.
type ownerCaller struct{ control *Control }

var _ OwnerCaller = (*ownerCaller)(nil)

// Operator returns the handler of the operator's HTTP interface. It may be served from any goroutine once the engine
// runs.
func (c *Control) Operator() http.Handler {
	operator := NewOperator(&ownerCaller{c}, c.logger)
	operator.Clock = c.clock
	return operator
}

// Configure sends a change to the owner.
func (o *ownerCaller) Configure(ctx context.Context, request *protocol.ConfigureRequest) (*protocol.ConfigureResponse, error) {
	return callConfigurationOwner[protocol.ConfigureRequest, protocol.ConfigureResponse](ctx, o.control, attemptTimeoutFor(len(request.Body)), request, o.control.configure)
}

// ReadConfiguration asks the owner for the configuration.
func (o *ownerCaller) ReadConfiguration(ctx context.Context, request *protocol.ReadConfigurationRequest) (*protocol.ReadConfigurationResponse, error) {
	return callConfigurationOwner[protocol.ReadConfigurationRequest, protocol.ReadConfigurationResponse](ctx, o.control, attemptTimeout, request, o.control.readConfiguration)
}

// callConfigurationOwner calls the owner, which may be this process, again and again until the outcome is known or ctx
// ends. timeout bounds each attempt.
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

// retryUntilDecided repeats attempt until its outcome is known, or wait reports that there is no time for another one.
//
// Once an attempt has an unknown outcome, the call has one too, whatever later attempts answer, unless one of them is
// decided by the log: its entry stands behind all that earlier attempts may have left there. Other refusals are not
// final, because what one process or link cannot do now another one may. A process that receives a request for the owner
// never forwards it, so two processes that each take the other for the owner do not pass it to and fro: only the process
// that serves the operator repeats it.
func retryUntilDecided[Resp any](attempt func() (*Resp, error), wait func() bool) (*Resp, error) {
	var unknown error
	for {
		response, err := attempt()
		switch failure.KindOf(err) {
		case failure.None:
			return response, nil
		case failure.UnknownOutcome:
			unknown = err
		case failure.NotLeader, failure.Unavailable, failure.TooLarge:
		case failure.Overloaded:
			return nil, firstError(unknown, err) // this attempt did nothing; an earlier one may have
		default:
			return nil, err
		}
		if !wait() {
			return nil, firstError(unknown, failure.New(failure.Unavailable, "no owner of the configuration is reached"))
		}
	}
}

// attemptTimeoutFor is the timeout of one attempt of a change of that many bytes. A second attempt is a second entry in
// the log: for a large change it must not start while the first one is on its way to the disks.
func attemptTimeoutFor(bytes int) time.Duration {
	return attemptTimeout + extraTimeForSize(bytes)
}

// firstError returns the first of two errors that is not nil.
func firstError(a, b error) error {
	if a != nil {
		return a
	}
	return b
}

// localAttempt is what this process's loop made of an attempt.
type localAttempt[Resp any] struct {
	owner    string // internal address of another owner to call; empty: response and err are the outcome
	response *Resp
	err      error
}

// attemptConfigurationOwner calls the owner once: by local if this process is the owner, else over the network.
func attemptConfigurationOwner[Req, Resp any](ctx context.Context, c *Control, timeout time.Duration, request *Req, local func(string, *Req, func(*Resp, error))) (*Resp, error) {
	ctx, cancel := deadline.WithTimeout(ctx, c.clock, timeout)
	defer cancel()
	attempted := make(chan localAttempt[Resp], 1)
	c.engine.Do(func() {
		if ctx.Err() != nil {
			return // abandoned before the loop came to it, as after a freeze: nothing is started for it any more
		}
		if c.configuration.leading {
			local("", request, func(response *Resp, err error) { attempted <- localAttempt[Resp]{response: response, err: err} })
			return
		}
		owner := leaderHint(c.engine, c.configuration.group())
		if owner == "" {
			attempted <- localAttempt[Resp]{err: failure.New(failure.NotLeader, "the owner is not known")}
			return
		}
		attempted <- localAttempt[Resp]{owner: owner}
	})
	select {
	case <-ctx.Done(): // the loop may have started it just before
		return nil, failure.New(failure.UnknownOutcome, "no outcome before the timeout")
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
