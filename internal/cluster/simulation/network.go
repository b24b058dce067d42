package simulation

import (
	"math/rand/v2"
	"time"
)

// Delays of links, one way.
const (
	LoopbackDelay = 50 * time.Microsecond   // on one machine
	InZoneDelay   = 200 * time.Microsecond  // between machines of one zone
	ZoneDelay     = 1400 * time.Microsecond // between zones
	ClientDelay   = 3 * time.Millisecond    // between clients or the operator and a machine, the shortest; the longest is twice that
)

// Network carries messages between machines. A link is one direction between two machines. It may lose messages, but
// delivers the remaining messages in the order in which they were sent.
type Network struct {
	World *World
	Loss  float64 // fraction of messages that are dropped
	links map[link]*linkState
}

type link struct{ from, to *Machine }

type linkState struct {
	partitions  int      // number of partitions that close the link; it is open at 0
	retained    []func() // messages sent during a partition: Heal delivers or drops them
	lastArrival time.Duration
	random      *rand.Rand // a stream for each link, so that draws do not depend on the order of messages on other links
}

// between draws a time uniformly from [low, high).
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

// state returns the state of a link.
func (n *Network) state(from, to *Machine) *linkState {
	key := link{from, to}
	state := n.links[key]
	if state == nil {
		state = &linkState{random: n.World.newStream(from.Name + ">" + to.Name)}
		n.links[key] = state
	}
	return state
}

// Partition closes the link from one machine to another, until Heal has been called as often as Partition.
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

// baseDelay returns the shortest delay of a link.
func baseDelay(from, to *Machine) time.Duration {
	switch {
	case from == to:
		return LoopbackDelay
	case from.Zone == to.Zone:
		return InZoneDelay
	}
	return ZoneDelay
}

// Send sends a message: f is called in the current incarnation of machine to, after the link's delay. The message is dropped
// if that incarnation has ended by then, if the link is partitioned at its arrival, or at random by Loss. A message that is
// sent during a partition is retained until Heal, or dropped if the link retains maxRetained already.
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

// scheduleDelivery schedules the arrival of a message, not before the arrival of any that was sent earlier on the link.
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

// Call sends a request to a machine, and the response back. handle is called on machine to with a function that sends the
// response; only the first call of that function counts. done is called with the response at most once, in the incarnation
// of the caller that made the call. It is never called if the request or the response is lost, so callers need a timeout.
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
