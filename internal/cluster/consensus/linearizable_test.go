package consensus

import (
	"encoding/binary"
	"errors"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// operation is a client's operation on the register: a write of value, or a read.
type operation struct {
	isWrite bool
	value   uint64
}

// registerModel is the sequential specification of the register: a read returns the value of the last write before it.
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

// clients use the register of a group. Each client has one operation at a time, at a random member that believes it leads.
type clients struct {
	world   *world
	until   time.Duration         // when clients stop starting operations, in the world's time
	value   uint64                // newest value that a client has written; all written values differ
	history []porcupine.Operation // finished operations, and writes of unknown outcome
}

// clientTimeout is how long a client waits for a response.
const clientTimeout = 300 * time.Millisecond

// scheduleNext schedules the next operation of a client.
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

// write proposes a value. If the entry is not committed within clientTimeout, the outcome of the write is unknown: it may
// still be committed.
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

// read reads the value of the state machine once the member's leadership is confirmed at or after the time of the request. A
// read without a confirmation within clientTimeout is left out of the history.
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

// finish records the response to an operation, and schedules the next operation of the client.
func (c *clients) finish(client int, input operation, requestedAt time.Duration, output any) {
	c.history = append(c.history, porcupine.Operation{ClientId: client, Input: input, Call: int64(requestedAt), Output: output,
		Return: int64(c.world.now)})
	c.scheduleNext(client)
}

// finishUnknown records a write of unknown outcome. It may take effect at any later time, so its recorded end is later than
// the end of every other operation. A client of the model has one operation at a time, so the write gets a separate client
// ID.
func (c *clients) finishUnknown(client int, input operation, requestedAt time.Duration) {
	c.history = append(c.history, porcupine.Operation{ClientId: client + 1000*len(c.history), Input: input,
		Call: int64(requestedAt), Return: int64(time.Hour)})
	c.scheduleNext(client)
}

// runRegister runs a group under random faults while four clients use its register, and checks that their history is
// linearizable.
func runRegister(seed uint64) error {
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
	w.run(w.now + 2*clientTimeout) // all operations end or time out
	if porcupine.CheckOperationsTimeout(registerModel, users.history, 10*time.Second) != porcupine.Ok {
		return errors.New("the history of the register is not linearizable, or porcupine took more than 10 s to check it")
	}
	return nil
}

// This spec guards against stale reads and lost writes: for example a leader that answers a read during a partition, after the
// other members have elected another leader and committed a write.
var _ = ginkgo.It("a group serves a linearizable register under random faults", func() {
	Expect(runSeeds(300, runRegister)).To(BeEmpty())
})
