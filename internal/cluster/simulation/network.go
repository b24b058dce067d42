package simulation

import (
	"math/rand/v2"
	"time"
)

// Delays of links, one way.
const (
	LoopbackDelay = 50 * time.Microsecond
	InZoneDelay   = 200 * time.Microsecond
	ZoneDelay     = 1400 * time.Microsecond
	ClientDelay   = 3 * time.Millisecond
)

// Network carries messages between machines. Each link, one way between two machines, delivers in order what it delivers.
type Network struct {
	World *World
	Loss  float64 // fraction of messages that are dropped
	links map[link]*linkState
}

type link struct{ from, to *Machine }

type linkState struct {
	partitions  int      // in force; the link is open at 0
	retained    []func() // messages sent during a partition, which its end delivers or drops
	lastArrival time.Duration
	random      *rand.Rand // the link's own, so that a run does not depend on the order of messages on different links
}

// between draws a time evenly from [low, high).
func (s *linkState) between(low, high time.Duration) time.Duration {
	if high <= low {
		return low
	}
	return low + time.Duration(s.random.Int64N(int64(high-low)))
}

// NewNetwork returns a network without faults.
func NewNetwork(world *World) *Network {
	return &Network{World: world, links: map[link]*linkState{}}
}

func (n *Network) state(from, to *Machine) *linkState {
	key := link{from, to}
	state := n.links[key]
	if state == nil {
		state = &linkState{random: n.World.newStream(from.Name + ">" + to.Name)}
		n.links[key] = state
	}
	return state
}

// Partition closes the link from one machine to another, until as many calls of Heal.
func (n *Network) Partition(from, to *Machine) { n.state(from, to).partitions++ }

// PartitionBoth closes both links between two machines.
func (n *Network) PartitionBoth(a, b *Machine) { n.Partition(a, b); n.Partition(b, a) }

// Heal undoes one call of Partition. Once the link is open, the messages that were sent during the partition are either
// all delivered or all dropped.
func (n *Network) Heal(from, to *Machine) {
	state := n.state(from, to)
	if state.partitions == 0 {
		return
	}
	state.partitions--
	if state.partitions > 0 {
		return
	}
	retained := state.retained
	state.retained = nil
	if state.random.Float64() < 0.5 {
		return
	}
	for _, deliver := range retained {
		deliver()
	}
}

func baseDelay(from, to *Machine) time.Duration {
	switch {
	case from == to:
		return LoopbackDelay
	case from.Zone == to.Zone:
		return InZoneDelay
	}
	return ZoneDelay
}

// Send calls f in the present incarnation of machine to, after the link's delay. The message is dropped if that
// incarnation is over by then, or by Loss. During a partition it is retained or dropped, see Heal.
func (n *Network) Send(from, to *Machine, f func()) {
	receiver, sender := to.incarnation, from.incarnation
	if from == to {
		n.World.After(LoopbackDelay, func() { to.inIncarnation(receiver, f) })
		return
	}
	state := n.state(from, to)
	if n.Loss > 0 && state.random.Float64() < n.Loss {
		return
	}
	deliver := func() { n.scheduleDelivery(state, from, to, receiver, f) }
	if state.partitions > 0 {
		const maxRetained = 64
		if len(state.retained) < maxRetained {
			state.retained = append(state.retained, func() {
				if from.incarnation == sender && from.up {
					deliver()
				}
			})
		}
		return
	}
	deliver()
}

// scheduleDelivery schedules the arrival of a message, not before that of one that was sent earlier on the link.
func (n *Network) scheduleDelivery(state *linkState, from, to *Machine, receiver int, f func()) {
	delay := baseDelay(from, to)
	delay += state.between(0, delay/4)
	if to.Lag > 0 {
		delay += state.between(0, to.Lag)
	}
	at := max(n.World.now+delay, state.lastArrival)
	state.lastArrival = at
	n.World.At(at, func() {
		if state.partitions == 0 {
			to.inIncarnation(receiver, f)
		}
	})
}

// Call carries a request to a machine, and its response back. handle gets a function to respond with, of which only the
// first call counts. done is called at most once, in the incarnation of the caller that made the call; if the request or
// the response is lost it never is, so that callers need a timeout.
func Call[Response any](n *Network, from, to *Machine, handle func(reply func(Response)), done func(Response)) {
	if !to.up {
		return
	}
	n.Send(from, to, func() {
		answered := false
		handle(func(response Response) {
			if answered {
				return
			}
			answered = true
			n.Send(to, from, func() { done(response) })
		})
	})
}
