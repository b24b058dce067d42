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

type link struct{ from, to *Machine }

type linkState struct {
	partitions  int // cuts in force
	extraDelay  time.Duration
	retained    []func() // what a cut holds up and may let go at its end
	lastArrival time.Duration
	random      *rand.Rand // the link's own, so that a run does not hang on the order of what is sent on different links
}

func (s *linkState) between(low, high time.Duration) time.Duration {
	if high <= low {
		return low
	}
	return low + time.Duration(s.random.Int64N(int64(high-low)))
}

// Network carries what machines send each other. What two machines say one way arrives in order, or not at all.
type Network struct {
	World *World
	Loss  float64 // share of messages that vanish
	links map[link]*linkState
}

// NewNetwork returns a sound network.
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

// Partition cuts the way from one machine to another; Join undoes one Cut.
func (n *Network) Partition(from, to *Machine) { n.state(from, to).partitions++ }

// PartitionBoth cuts both ways.
func (n *Network) PartitionBoth(a, b *Machine) { n.Partition(a, b); n.Partition(b, a) }

// Heal undoes one cut. Bytes that the cut held up either arrive now or are lost.
func (n *Network) Heal(from, to *Machine) {
	state := n.state(from, to)
	if state.partitions == 0 {
		return
	}
	state.partitions--
	if state.partitions > 0 {
		return
	}
	held := state.retained
	state.retained = nil
	if state.random.Float64() < 0.5 {
		return
	}
	for _, f := range held {
		f()
	}
}

// HealBoth undoes one cut of both ways.
func (n *Network) HealBoth(a, b *Machine) { n.Heal(a, b); n.Heal(b, a) }

// SetDelay adds a delay to the way from one machine to another; 0 ends it.
func (n *Network) SetDelay(from, to *Machine, by time.Duration) { n.state(from, to).extraDelay = by }

// Connected tells whether the way from one machine to another is open.
func (n *Network) Connected(from, to *Machine) bool {
	state := n.links[link{from, to}]
	return state == nil || state.partitions == 0
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

// Send calls f in the present life of the machine `to`, after the link's delay. It is lost with the life of either end,
// and a cut loses it or holds it up.
func (n *Network) Send(from, to *Machine, f func()) {
	life, sender := to.incarnation, from.incarnation
	if from == to {
		n.World.After(LoopbackDelay, func() { to.inIncarnation(life, f) })
		return
	}
	state := n.state(from, to)
	if n.Loss > 0 && state.random.Float64() < n.Loss {
		return
	}
	deliver := func() { n.scheduleDelivery(state, from, to, life, f) }
	if state.partitions > 0 {
		const mostHeld = 64
		if len(state.retained) < mostHeld {
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

// scheduleDelivery schedules a delivery no earlier than that of what was sent before on the same link.
func (n *Network) scheduleDelivery(state *linkState, from, to *Machine, life int, f func()) {
	delay := baseDelay(from, to)
	delay += state.between(0, delay/4) + state.extraDelay
	if to.Lag > 0 {
		delay += state.between(0, to.Lag)
	}
	at := max(n.World.now+delay, state.lastArrival)
	state.lastArrival = at
	n.World.At(at, func() {
		if state.partitions == 0 {
			to.inIncarnation(life, f)
		}
	})
}

// Call carries a request to a machine and its answer back. The handler gets a function to answer with; of its calls only
// the first counts. done is called at most once, in the life of the caller that asked; without an answer it never is.
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
