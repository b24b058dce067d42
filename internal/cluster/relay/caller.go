// Package relay carries calls to control processes round a cut: one whose direct way is silent goes through a process
// that still reaches the target. It is the indirect probe of SWIM with the call itself in the place of the ping.
//
// A relay holds nothing and confirms nothing. What it brings is the target's own answer to the request as it was sent,
// except that a relayed heartbeat says so. Whatever is relayed may be sent twice, once directly and once through a relay,
// so only calls are relayed of which the second is harmless: hand-ins, cancels and fences by the job's id, heartbeats by
// their sequence, and questions.
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
	// directPatience is how long a direct answer is waited for before a relay is asked. An owner answers a heartbeat within
	// 60 ms and everything else once it is committed: one that is silent for so long is gone, frozen or cut off.
	directPatience = 250 * time.Millisecond
	// relayPatience is how long a relay is waited for.
	relayPatience = 300 * time.Millisecond
	// probePatience is how long the answer to a probe is waited for.
	probePatience = 400 * time.Millisecond
	// leastAttempt is the least time for which a relay is worth asking.
	leastAttempt = 40 * time.Millisecond
	// relaysTried is how many relays a call is handed to at most; a further one only if the one before certainly did nothing.
	relaysTried = 2
)

// Client makes direct calls; transport.Client is one.
type Client interface {
	Do(ctx context.Context, address string, request, response any) error
	DoLong(ctx context.Context, address string, request, response any) error
}

// Caller calls control processes directly, or through relays where that way is silent.
type Caller struct {
	direct Client
	clock  clockwork.Clock

	mutex sync.Mutex
	paths paths
}

// NewCaller returns a Caller that knows no relay yet. A nil clock stands for the real one.
func NewCaller(direct Client, clock clockwork.Clock) *Caller {
	if clock == nil {
		clock = clockwork.NewRealClock()
	}
	return &Caller{direct: direct, clock: clock, paths: newPaths()}
}

// SetRelays takes the relays that may be asked, the preferred ones first.
func (c *Caller) SetRelays(relays []protocol.Relay) {
	addresses := make([]string, len(relays))
	for i := range relays {
		addresses[i] = relays[i].Address
	}
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.paths.setRelays(addresses)
}

// Do makes a call as transport.Client.Do does.
func (c *Caller) Do(ctx context.Context, address string, request, response any) error {
	wrapped := c.relayable(address, request)
	if wrapped == nil {
		return c.direct.Do(ctx, address, request, response)
	}
	if wrapped.Watch != nil {
		return c.watch(ctx, wrapped, response, c.direct.Do)
	}
	if c.isDark(ctx, address) {
		return c.relay(ctx, wrapped, response)
	}
	began := c.clock.Now()
	bounded, cancel := deadline.WithTimeout(ctx, c.clock, directPatience)
	err := c.direct.Do(bounded, address, request, response)
	cancel()
	if wasReached(err) {
		c.noteAnswer(address)
		return err
	}
	if !c.worthRelaying(ctx, address, began) {
		return err
	}
	relayed := c.relay(ctx, wrapped, response)
	if relayed != nil && failure.KindOf(err) == failure.UnknownOutcome {
		return failure.Newf(failure.UnknownOutcome, "%v; through a relay: %v", err, relayed)
	}
	return relayed
}

// DoLong makes a call as transport.Client.DoLong does.
func (c *Caller) DoLong(ctx context.Context, address string, request, response any) error {
	wrapped := c.relayable(address, request)
	if wrapped == nil {
		return c.direct.DoLong(ctx, address, request, response)
	}
	return c.watch(ctx, wrapped, response, c.direct.DoLong)
}

// directCall is Do or DoLong of a Client.
type directCall func(ctx context.Context, address string, request, response any) error

// watch makes a call that may be held back as long as its caller waits, so that silence says little of the way. A process
// that does not answer in all that time is asked through a relay the next time, if a relay reaches it.
func (c *Caller) watch(ctx context.Context, wrapped *protocol.RelayRequest, response any, direct directCall) error {
	address := wrapped.Target
	if c.isDark(ctx, address) {
		return c.relayTo(ctx, c.pick(), wrapped, response)
	}
	began := c.clock.Now()
	err := direct(ctx, address, wrapped.Watch, response)
	if wasReached(err) {
		c.noteAnswer(address)
	} else if c.clock.Since(began) >= directPatience {
		c.noteSilence(address)
		go c.probeThroughRelay(context.WithoutCancel(ctx), address)
	}
	return err
}

// relayable returns the request to a relay, nil if there is no relay or the call is not relayed.
func (c *Caller) relayable(address string, request any) *protocol.RelayRequest {
	if c.pick() == "" {
		return nil
	}
	return wrap(address, request)
}

// wasReached tells from a call's error that its target has answered.
func wasReached(err error) bool {
	switch failure.KindOf(err) {
	case failure.Unavailable, failure.UnknownOutcome:
		return false
	}
	return true
}

// worthRelaying tells whether a direct call that has failed is worth handing to a relay: if it was silent, or was silent of
// late and fails at once now. A process that refuses connections is no longer there, for relays neither.
func (c *Caller) worthRelaying(ctx context.Context, address string, began time.Time) bool {
	select {
	case <-ctx.Done():
		return false
	default:
	}
	if c.clock.Since(began) >= directPatience {
		c.noteSilence(address)
		return true
	}
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.paths.isSuspect(address, c.clock.Now())
}

// relay makes a call through relays.
func (c *Caller) relay(ctx context.Context, wrapped *protocol.RelayRequest, response any) error {
	var err error
	for range relaysTried {
		if until, ok := ctx.Deadline(); ok && c.clock.Until(until) < leastAttempt {
			break
		}
		bounded, cancel := deadline.WithTimeout(ctx, c.clock, relayPatience)
		err = c.relayTo(bounded, c.pick(), wrapped, response)
		cancel()
		if failure.KindOf(err) != failure.Unavailable {
			return err
		}
	}
	if err == nil {
		err = failure.Newf(failure.Unavailable, "%s: no time to ask a relay", wrapped.Target)
	}
	return err
}

// relayTo makes a call through one relay.
func (c *Caller) relayTo(ctx context.Context, relay string, wrapped *protocol.RelayRequest, response any) error {
	if relay == "" {
		return failure.Newf(failure.Unavailable, "%s: no relay is known", wrapped.Target)
	}
	brought := &protocol.RelayResponse{}
	var err error
	if wrapped.Watch != nil {
		err = c.direct.DoLong(ctx, relay, wrapped, brought)
	} else {
		err = c.direct.Do(ctx, relay, wrapped, brought)
	}
	if err == nil {
		err = unwrap(brought, response)
	}
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if wasReached(err) {
		c.paths.relayed(wrapped.Target, c.clock.Now())
	} else {
		c.paths.demote(relay)
	}
	return err
}

// isDark tells whether relays alone reach a process, and sees to it that it is tried directly now and then.
func (c *Caller) isDark(ctx context.Context, address string) bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.paths.takeProbe(address, c.clock.Now()) {
		go c.probe(context.WithoutCancel(ctx), address)
	}
	return c.paths.isDark(address)
}

// probe tries a process directly.
func (c *Caller) probe(ctx context.Context, address string) {
	ctx, cancel := deadline.WithTimeout(ctx, c.clock, probePatience)
	defer cancel()
	if c.direct.Do(ctx, address, &protocol.PingRequest{Number: 1}, &protocol.PingResponse{}) == nil {
		c.noteAnswer(address)
	}
}

// probeThroughRelay finds out whether a relay reaches a process that was silent.
func (c *Caller) probeThroughRelay(ctx context.Context, address string) {
	_ = c.relay(ctx, wrap(address, &protocol.PingRequest{Number: 1}), &protocol.PingResponse{})
}

func (c *Caller) pick() string {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.paths.first()
}

func (c *Caller) noteAnswer(address string) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.paths.answered(address)
}

func (c *Caller) noteSilence(address string) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.paths.silent(address, c.clock.Now())
}
