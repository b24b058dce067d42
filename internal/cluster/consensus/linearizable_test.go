package consensus

import (
	"encoding/binary"
	"errors"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// operation is a client's operation on the register: a write, or else a read.
type operation struct {
	isWrite bool
	value   uint64
}

// registerModel is the sequential specification of the register: a read returns the newest value written.
var registerModel = porcupine.Model{
	Init: func() any { return uint64(0) },
	Step: func(state, input, output any) (bool, any) {
		request := input.(operation)
		if request.isWrite {
			return true, request.value
		}
		return output.(uint64) == state.(uint64), state
	},
}

// clients use the register of a group, each one operation at a time, at a random member that believes it leads.
type clients struct {
	world   *world
	until   time.Duration
	value   uint64
	history []porcupine.Operation
}

// clientTimeout is how long a client waits for a response.
const clientTimeout = 300 * time.Millisecond

// scheduleNext schedules a client's next operation.
func (c *clients) scheduleNext(client int) {
	c.world.after(5*time.Millisecond+c.world.randomUpTo(60*time.Millisecond), func() {
		if c.world.now >= c.until {
			return
		}
		m := c.world.machines[c.world.random.IntN(len(c.world.machines))]
		if !m.up || m.frozen || !m.node.Status().IsLeader {
			c.scheduleNext(client)
			return
		}
		if c.world.chance(0.5) {
			c.write(client, m)
		} else {
			c.read(client, m)
		}
	})
}

// write proposes a value. Without a response until the timeout its outcome is unknown: it may still be committed.
func (c *clients) write(client int, m *machine) {
	c.value++
	value := c.value
	index, term, err := m.node.Propose(m.clock(), binary.BigEndian.AppendUint64(nil, value))
	if err != nil {
		c.scheduleNext(client)
		return
	}
	requestedAt := c.world.now
	responded := false
	m.commitHooks = append(m.commitHooks, func(entry Entry) {
		if entry.Index == index && entry.Term == term && !responded {
			responded = true
			c.finish(client, operation{isWrite: true, value: value}, requestedAt, nil)
		}
	})
	m.processOutput()
	c.world.after(clientTimeout, func() {
		if !responded {
			responded = true
			c.finishUnknown(client, operation{isWrite: true, value: value}, requestedAt)
		}
	})
}

// read returns the value of the state machine once the leadership is confirmed at the time of the request or later.
func (c *clients) read(client int, m *machine) {
	requestedAt, localRequestedAt, incarnation, term := c.world.now, m.clock(), m.incarnation, m.node.term
	m.node.ConfirmLeadership(localRequestedAt)
	m.processOutput()
	var poll func()
	poll = func() {
		same := m.up && m.incarnation == incarnation && m.node.term == term && m.node.Status().Ready
		switch {
		case same && !m.frozen && m.node.Status().ConfirmedAt >= localRequestedAt:
			c.finish(client, operation{}, requestedAt, m.state.value)
		case c.world.now-requestedAt > clientTimeout:
			c.scheduleNext(client)
		default:
			c.world.after(time.Millisecond, poll)
		}
	}
	poll()
}

// finish records the response to an operation, and goes on with the next one.
func (c *clients) finish(client int, input operation, requestedAt time.Duration, output any) {
	c.history = append(c.history, porcupine.Operation{ClientId: client, Input: input, Call: int64(requestedAt), Output: output,
		Return: int64(c.world.now)})
	c.scheduleNext(client)
}

// finishUnknown records a write of unknown outcome: it may take effect at any later time, so it returns after everything
// else. Since a client of the model has one operation at a time, it is recorded under a client ID of its own.
func (c *clients) finishUnknown(client int, input operation, requestedAt time.Duration) {
	c.history = append(c.history, porcupine.Operation{ClientId: client + 1000*len(c.history), Input: input,
		Call: int64(requestedAt), Return: int64(time.Hour)})
	c.scheduleNext(client)
}

// playRegister runs a group with faults while clients use its register, and checks that their history is linearizable.
func playRegister(seed uint64) error {
	w := newWorld(seed, 3, 1)
	n := newNemesis(w, 3, 2*time.Second)
	n.noProposals = true
	users := &clients{world: w, until: 2 * time.Second}
	for client := range 4 {
		users.scheduleNext(client)
	}
	if err := n.healAndVerify(); err != nil {
		return err
	}
	w.run(w.now + 2*clientTimeout) // until all operations have ended or timed out
	if porcupine.CheckOperationsTimeout(registerModel, users.history, 10*time.Second) != porcupine.Ok {
		return errors.New("the register's history is not linearizable")
	}
	return nil
}

var _ = ginkgo.It("serves a register linearizably while faults are injected", func() {
	Expect(playSeeds(300, playRegister)).To(BeEmpty())
})
