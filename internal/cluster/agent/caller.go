package agent

import (
	"context"
	"sync"
	"time"

	"ospreypond/internal/cluster/failure"
	"ospreypond/internal/cluster/protocol"
)

// caller has the loops that call runners, where runners are called (commands = invocation): in use is one, that of the
// incarnation which stands on this machine now.
type caller struct {
	service *Service
	address string // of the runner's calls; empty: as its heartbeats say
	dial    Dial

	mutex   sync.Mutex
	current *loop
	over    []string // incarnations that another one has followed here, the latest last
}

// lateHeartbeat is the longest that a heartbeat is under way: another incarnation is ended by one only if it has been
// silent for so long.
const lateHeartbeat = time.Second

// mostOver is how many incarnations that are over are known by name.
const mostOver = 64

// register takes a runner's heartbeat and returns once the owner has it, or ctx ends.
func (c *caller) register(ctx context.Context, request *protocol.HeartbeatRequest) error {
	l, err := c.loopFor(ctx, request)
	if err != nil {
		return err
	}
	return l.register(ctx, request)
}

// loopFor returns the loop of the heartbeat's incarnation, which ends that of an earlier one.
func (c *caller) loopFor(ctx context.Context, request *protocol.HeartbeatRequest) (*loop, error) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	instance := request.Heartbeat.Instance
	if c.current != nil && c.current.instance == instance {
		return c.current, nil
	}
	for _, known := range c.over {
		if known == instance {
			return nil, failure.New(failure.Gone, "this incarnation of the runner is over")
		}
	}
	if c.current != nil && c.current.heardWithin(lateHeartbeat) {
		return nil, failure.New(failure.Unavailable, "another incarnation was heard a moment ago: this one may be older")
	}
	before := c.endCurrent()
	address := c.address
	if address == "" {
		address = request.Heartbeat.Address
	}
	c.current = newLoop(ctx, c.service, c.dial, instance, address)
	c.current.registration.put(request, c.service.clock.Now())
	go c.current.run(before)
	return c.current, nil
}

// endCurrent ends the loop in use and returns what is closed once it is over, nil if there is none.
func (c *caller) endCurrent() <-chan struct{} {
	if c.current == nil {
		return nil
	}
	c.current.cancel()
	c.over = append(c.over, c.current.instance)
	if len(c.over) > mostOver {
		c.over = c.over[1:]
	}
	ended := c.current.ended
	c.current = nil
	return ended
}

// leave ends the loop of an incarnation that has said that it ends.
func (c *caller) leave(instance string) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.current != nil && c.current.instance == instance {
		c.endCurrent()
	}
}

// close ends all calls.
func (c *caller) close() {
	c.mutex.Lock()
	ended := c.endCurrent()
	c.mutex.Unlock()
	if ended != nil {
		<-ended
	}
}
