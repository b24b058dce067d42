// Package relay lets calls reach control processes in spite of a partial partition: a call to a process that does not
// answer directly goes through a process that still reaches it. That is the indirect probe of SWIM (Das, Gupta,
// Motivala 2002), with the call itself in place of the ping.
//
// A relay has no state and confirms nothing. What it returns is the target's own response to the request as it was
// sent, except that a relayed heartbeat is marked so. A relayed call may be executed twice, once directly and once
// through a relay. So only calls are relayed whose second execution is harmless: submits, cancels and fences, by the
// job's id; heartbeats, by their sequence; and queries.
//
// A Caller may be used by any goroutine. It has no end: its probes end by their own timeouts.
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
	// directTimeout is how long a direct response is waited for before a relay is called. An owner answers a heartbeat
	// within 60 ms and everything else once it is committed: one that takes this long has ended, is frozen or
	// partitioned.
	directTimeout = 250 * time.Millisecond
	// relayTimeout is how long the response of a relay is waited for.
	relayTimeout = 300 * time.Millisecond
	// probeTimeout is how long the response to a probe is waited for.
	probeTimeout = 400 * time.Millisecond
	// minRelayTime is the least time before the caller's deadline for which a relay is called.
	minRelayTime = 40 * time.Millisecond
	// maxRelayAttempts is through how many relays a call is made at most. A further one is called only if the one
	// before certainly did nothing.
	maxRelayAttempts = 2
)

// Client makes direct calls, as transport.Client does; see there for the errors.
type Client interface {
	Do(ctx context.Context, address string, request, response any) error
	DoLong(ctx context.Context, address string, request, response any) error
}

// Caller calls control processes directly, or through relays if they do not answer directly.
type Caller struct {
	direct Client
	clock  clockwork.Clock

	mutex sync.Mutex
	paths paths
}

// NewCaller returns a Caller that knows no relay yet. A nil clock stands for the system's.
func NewCaller(direct Client, clock clockwork.Clock) *Caller {
	if clock == nil {
		clock = clockwork.NewRealClock()
	}
	return &Caller{direct: direct, clock: clock, paths: newPaths()}
}

// SetRelays sets the relays that may be called, the preferred ones first.
func (c *Caller) SetRelays(relays []protocol.Relay) {
	addresses := make([]string, len(relays))
	for i := range relays {
		addresses[i] = relays[i].Address
	}
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.paths.setRelays(addresses)
}

// Do calls as transport.Client.Do does. If the direct call may have been done and a relayed one failed, the outcome is
// unknown, whatever the relayed one's error.
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
		return failure.Newf(failure.UnknownOutcome, "%v; through a relay: %v", err, relayed)
	}
	return relayed
}

// DoLong calls as transport.Client.DoLong does.
func (c *Caller) DoLong(ctx context.Context, address string, request, response any) error {
	wrapped := c.relayable(address, request)
	if wrapped == nil {
		return c.direct.DoLong(ctx, address, request, response)
	}
	return c.watch(ctx, wrapped, response, c.direct.DoLong)
}

// directCall is Do or DoLong of a Client.
type directCall func(ctx context.Context, address string, request, response any) error

// watch makes a call whose response may be delayed as long as its caller waits, so that a missing one says little
// about the path. If nothing arrives in all that time, the next such call goes through a relay, provided that one
// reaches the process.
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

// relayable returns the request to a relay, or nil if there is no relay or the call is not relayed.
func (c *Caller) relayable(address string, request any) *protocol.RelayRequest {
	if c.preferredRelay() == "" {
		return nil
	}
	return wrap(address, request)
}

// wasReached reports whether a call's error shows that its target has answered.
func wasReached(err error) bool {
	switch failure.KindOf(err) {
	case failure.Unavailable, failure.UnknownOutcome:
		return false
	}
	return true
}

// shouldRelay reports whether a failed direct call should be relayed: if it timed out, or fails at once now and timed
// out lately. A process that refuses connections has ended, and relays do not reach it either.
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

// relay makes a call through relays.
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
		err = failure.Newf(failure.Unavailable, "%s: no time left to call a relay", wrapped.Target)
	}
	return err
}

// relayTo makes a call through one relay.
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

// mustRelay reports whether only relays reach a process, and probes it directly now and then.
func (c *Caller) mustRelay(ctx context.Context, address string) bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.paths.probeDue(address, c.clock.Now()) {
		go c.probe(context.WithoutCancel(ctx), address)
	}
	return c.paths.isUnreachable(address)
}

// probe probes a process directly.
func (c *Caller) probe(ctx context.Context, address string) {
	ctx, cancel := deadline.WithTimeout(ctx, c.clock, probeTimeout)
	defer cancel()
	if c.direct.Do(ctx, address, &protocol.PingRequest{Number: 1}, &protocol.PingResponse{}) == nil {
		c.recordAnswer(address)
	}
}

// probeThroughRelay finds out whether a relay reaches a process that timed out.
func (c *Caller) probeThroughRelay(ctx context.Context, address string) {
	_ = c.relay(ctx, wrap(address, &protocol.PingRequest{Number: 1}), &protocol.PingResponse{})
}

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
