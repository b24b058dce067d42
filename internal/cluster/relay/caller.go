// Package relay lets calls reach control processes despite a partial partition: if this machine does not reach a control
// process, the call goes through another process, the relay, that still does. The method is the indirect probe of SWIM
// (Das, Gupta, Motivala 2002), except that the relay forwards the call itself instead of a ping.
//
// A call takes these steps:
//
//  1. It goes to the control process directly. If that answers within directTimeout, the call is done.
//  2. After a timeout the process is suspect for suspicionLifetime, and the call goes through up to maxRelayAttempts
//     relays. A call to a suspect process also goes through relays if its direct attempt fails before directTimeout.
//  3. Once a relay has reached the process, the Caller marks the process as unreachable from here: calls to it go through
//     relays at once. Every probeInterval at most, such a call also starts a direct ping. The first answered ping ends
//     this state.
//
// Watches are long polls: the owner delays the responses. So the Caller doesn't repeat a watch through a relay after a
// timeout. Instead it pings the process through a relay, and if the process answers, later watches go through relays.
//
// A relay keeps no state about calls and never answers in the target's place: it forwards the request as it was sent and
// returns the target's response. The only change is that it marks a heartbeat as relayed.
//
// A relayed call may be executed twice, once directly and once through the relay, since the direct request may have
// arrived though its response did not. So only calls that may safely be executed twice are relayed. The owner recognizes
// repeated submits, cancels and fences by the job's id, and repeated heartbeats by their sequence number; queries are
// read-only.
//
// A Caller may be used by many goroutines. It need not be closed: the goroutines of its probes end after probeTimeout, or
// after the timeouts of their relay calls.
package relay

import (
	"context"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"ospreypond/internal/cluster/deadline"
	"ospreypond/internal/cluster/failure"
	"ospreypond/internal/cluster/protocol"
)

const (
	// directTimeout is how long a Caller waits for the response of a direct call before it calls a relay. An owner
	// answers a heartbeat within 60 ms and other calls once they are committed. An owner that takes longer than
	// directTimeout has probably ended, is frozen or is partitioned from here.
	directTimeout = 250 * time.Millisecond
	// relayTimeout is how long a Caller waits for the response of one relay.
	relayTimeout = 300 * time.Millisecond
	// probeTimeout is how long a Caller waits for the response to a direct ping of an unreachable process.
	probeTimeout = 400 * time.Millisecond
	// minRelayTime is the least time until the caller's deadline with which a Caller still calls a relay.
	minRelayTime = 40 * time.Millisecond
	// maxRelayAttempts is the number of relays that one call tries at most. It tries another only if the attempt
	// before failed with Unavailable, so that the target did not execute it.
	maxRelayAttempts = 2
)

// Client makes direct calls. transport.Client implements it and documents the kinds of errors.
type Client interface {
	Do(ctx context.Context, address string, request, response any) error
	DoLong(ctx context.Context, address string, request, response any) error
}

// Caller calls control processes directly, or through relays if this machine does not reach them.
type Caller struct {
	direct Client
	clock  clockwork.Clock

	mutex sync.Mutex
	paths paths
}

// NewCaller returns a Caller that makes only direct calls until SetRelays is called. If clock is nil, it uses the system's
// clock.
func NewCaller(direct Client, clock clockwork.Clock) *Caller {
	if clock == nil {
		clock = clockwork.NewRealClock()
	}
	return &Caller{direct: direct, clock: clock, paths: newPaths()}
}

// SetRelays sets the relays that may be called, in the order of preference. Relays that were known before keep their
// order and come first, see paths.setRelays.
func (c *Caller) SetRelays(relays []protocol.Relay) {
	addresses := make([]string, len(relays))
	for i := range relays {
		addresses[i] = relays[i].Address
	}
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.paths.setRelays(addresses)
}

// Do calls the process at address as transport.Client.Do does, directly or through relays. If the direct call has an
// unknown outcome and the relayed call fails, the error is UnknownOutcome whatever the relayed call's error, which
// doesn't show whether the direct call was executed.
func (c *Caller) Do(ctx context.Context, address string, request, response any) error {
	wrapped := c.relayable(address, request)
	if wrapped == nil {
		return c.direct.Do(ctx, address, request, response)
	}
	if wrapped.Watch != nil {
		return c.watch(ctx, wrapped, response, c.direct.Do)
	}
	if c.mustRelay(ctx, address) {
		return c.relay(ctx, wrapped, response)
	}
	began := c.clock.Now()
	bounded, cancel := deadline.WithTimeout(ctx, c.clock, directTimeout)
	err := c.direct.Do(bounded, address, request, response)
	cancel()
	if wasReached(err) {
		c.recordAnswer(address)
		return err
	}
	if !c.shouldRelay(ctx, address, began) {
		return err
	}
	relayed := c.relay(ctx, wrapped, response)
	if relayed != nil && failure.KindOf(err) == failure.UnknownOutcome {
		return failure.Newf(failure.UnknownOutcome, "direct call: %v; call through a relay: %v", err, relayed)
	}
	return relayed
}

// DoLong calls the process at address as transport.Client.DoLong does, directly or through a relay. Among the relayable
// calls it is only for watches.
func (c *Caller) DoLong(ctx context.Context, address string, request, response any) error {
	wrapped := c.relayable(address, request)
	if wrapped == nil {
		return c.direct.DoLong(ctx, address, request, response)
	}
	return c.watch(ctx, wrapped, response, c.direct.DoLong)
}

// directCall is the method Do or DoLong of a Client.
type directCall func(ctx context.Context, address string, request, response any) error

// watch sends a watch. The owner may delay the response until ctx ends, so a missing response doesn't show that the path
// is broken, and the watch is not repeated through a relay. If it failed after directTimeout or more, watch pings the
// process through a relay: if that succeeds, it marks the process as unreachable from here, and the next watch is
// relayed.
func (c *Caller) watch(ctx context.Context, wrapped *protocol.RelayRequest, response any, direct directCall) error {
	address := wrapped.Target
	if c.mustRelay(ctx, address) {
		return c.relayTo(ctx, c.preferredRelay(), wrapped, response)
	}
	began := c.clock.Now()
	err := direct(ctx, address, wrapped.Watch, response)
	if wasReached(err) {
		c.recordAnswer(address)
	} else if c.clock.Since(began) >= directTimeout {
		c.recordTimeout(address)
		go c.probeThroughRelay(context.WithoutCancel(ctx), address)
	}
	return err
}

// relayable returns the request that asks a relay to make the call. It returns nil if no relay is known or calls of this
// type are never relayed.
func (c *Caller) relayable(address string, request any) *protocol.RelayRequest {
	if c.preferredRelay() == "" {
		return nil
	}
	return wrap(address, request)
}

// wasReached reports whether the error of a call, or nil, shows that the target answered.
func wasReached(err error) bool {
	switch failure.KindOf(err) {
	case failure.Unavailable, failure.UnknownOutcome:
		return false
	}
	return true
}

// shouldRelay reports whether to relay a call whose direct attempt, begun at began, failed. It reports true if the
// attempt took directTimeout, or if it failed earlier but the process is suspect: the client may fail at once during a
// backoff. A process that is not suspect and refuses connections has ended, and relays don't reach it either.
func (c *Caller) shouldRelay(ctx context.Context, address string, began time.Time) bool {
	select {
	case <-ctx.Done():
		return false
	default:
	}
	if c.clock.Since(began) >= directTimeout {
		c.recordTimeout(address)
		return true
	}
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.paths.isSuspect(address, c.clock.Now())
}

// relay makes a call through up to maxRelayAttempts relays. It tries the next one only after Unavailable, since any other
// error may mean that the target executed the call.
func (c *Caller) relay(ctx context.Context, wrapped *protocol.RelayRequest, response any) error {
	var err error
	for range maxRelayAttempts {
		if until, ok := ctx.Deadline(); ok && c.clock.Until(until) < minRelayTime {
			break
		}
		bounded, cancel := deadline.WithTimeout(ctx, c.clock, relayTimeout)
		err = c.relayTo(bounded, c.preferredRelay(), wrapped, response)
		cancel()
		if failure.KindOf(err) != failure.Unavailable {
			return err
		}
	}
	if err == nil {
		err = failure.Newf(failure.Unavailable, "%s: less than %v left to call a relay", wrapped.Target, minRelayTime)
	}
	return err
}

// relayTo makes a call through one relay. If the target answered, it records that relays reach the target; if not, it makes
// the relay the least preferred one.
func (c *Caller) relayTo(ctx context.Context, relay string, wrapped *protocol.RelayRequest, response any) error {
	if relay == "" {
		return failure.Newf(failure.Unavailable, "%s: no relay is known", wrapped.Target)
	}
	relayed := &protocol.RelayResponse{}
	var err error
	if wrapped.Watch != nil {
		err = c.direct.DoLong(ctx, relay, wrapped, relayed)
	} else {
		err = c.direct.Do(ctx, relay, wrapped, relayed)
	}
	if err == nil {
		err = unwrap(relayed, response)
	}
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if wasReached(err) {
		c.paths.recordRelayed(wrapped.Target, c.clock.Now())
	} else {
		c.paths.demote(relay)
	}
	return err
}

// mustRelay reports whether calls to a process have to go through relays, since this machine does not reach it. If its next
// direct probe is due, mustRelay starts it in a goroutine.
func (c *Caller) mustRelay(ctx context.Context, address string) bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.paths.probeDue(address, c.clock.Now()) {
		go c.probe(context.WithoutCancel(ctx), address)
	}
	return c.paths.isUnreachable(address)
}

// probe pings a process directly. An answer ends its unreachable state.
func (c *Caller) probe(ctx context.Context, address string) {
	ctx, cancel := deadline.WithTimeout(ctx, c.clock, probeTimeout)
	defer cancel()
	if c.direct.Do(ctx, address, &protocol.PingRequest{Number: 1}, &protocol.PingResponse{}) == nil {
		c.recordAnswer(address)
	}
}

// probeThroughRelay pings a process through a relay. relayTo records the process as unreachable from here if it answers.
func (c *Caller) probeThroughRelay(ctx context.Context, address string) {
	_ = c.relay(ctx, wrap(address, &protocol.PingRequest{Number: 1}), &protocol.PingResponse{})
}

// preferredRelay returns the address of the relay to call first, or "" if none is known.
func (c *Caller) preferredRelay() string {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.paths.preferred()
}

func (c *Caller) recordAnswer(address string) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.paths.recordAnswer(address)
}

func (c *Caller) recordTimeout(address string) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.paths.recordTimeout(address, c.clock.Now())
}
