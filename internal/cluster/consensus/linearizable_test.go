package consensus

import (
	"encoding/binary"
	"errors"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// operation is what a client asks of the register: a write, or a read if there is nothing to write.
type operation struct {
	write bool
	value uint64
}

// registerModel is one number that is read and written.
var registerModel = porcupine.Model{
	Init: func() any { return uint64(0) },
	Step: func(state, input, output any) (bool, any) {
		asked := input.(operation)
		if asked.write {
			return true, asked.value
		}
		return output.(uint64) == state.(uint64), state
	},
}

// clients use the register, each one operation at a time, at whatever member believes it leads.
type clients struct {
	world   *world
	until   time.Duration
	value   uint64
	history []porcupine.Operation
}

// patience is how long a client waits for an answer.
const patience = 300 * time.Millisecond

// start begins a client's next operation after a while.
func (c *clients) start(client int) {
	c.world.after(5*time.Millisecond+c.world.upTo(60*time.Millisecond), func() {
		if c.world.now >= c.until {
			return
		}
		m := c.world.machines[c.world.random.IntN(len(c.world.machines))]
		if !m.up || m.frozen || !m.node.Status().IsLeader {
			c.start(client)
			return
		}
		if c.world.chance(0.5) {
			c.write(client, m)
		} else {
			c.read(client, m)
		}
	})
}

// write proposes a value. Without an answer it may be done at any time, or never.
func (c *clients) write(client int, m *machine) {
	c.value++
	value := c.value
	index, term, err := m.node.Propose(m.clock(), binary.BigEndian.AppendUint64(nil, value))
	if err != nil {
		c.start(client)
		return
	}
	asked := c.world.now
	answered := false
	m.hooks = append(m.hooks, func(entry Entry) {
		if entry.Index == index && entry.Term == term && !answered {
			answered = true
			c.finish(client, operation{write: true, value: value}, asked, nil)
		}
	})
	m.drain()
	c.world.after(patience, func() {
		if !answered {
			answered = true
			c.unknown(client, operation{write: true, value: value}, asked)
		}
	})
}

// read answers from the state machine once the leadership is confirmed after the request came.
func (c *clients) read(client int, m *machine) {
	asked, askedHere, life, term := c.world.now, m.clock(), m.life, m.node.term
	m.node.ConfirmLeadership(askedHere)
	m.drain()
	var look func()
	look = func() {
		same := m.up && m.life == life && m.node.term == term && m.node.Status().Ready
		switch {
		case same && !m.frozen && m.node.Status().ConfirmedAt >= askedHere:
			c.finish(client, operation{}, asked, m.state.value)
		case c.world.now-asked > patience:
			c.start(client)
		default:
			c.world.after(time.Millisecond, look)
		}
	}
	look()
}

// finish notes an answer.
func (c *clients) finish(client int, input operation, asked time.Duration, output any) {
	c.history = append(c.history, porcupine.Operation{ClientId: client, Input: input, Call: int64(asked), Output: output,
		Return: int64(c.world.now)})
	c.start(client)
}

// unknown notes a write that may be done or not: it ends after everything else. The client goes on under a new name.
func (c *clients) unknown(client int, input operation, asked time.Duration) {
	c.history = append(c.history, porcupine.Operation{ClientId: client + 1000*len(c.history), Input: input,
		Call: int64(asked), Return: int64(time.Hour)})
	c.start(client)
}

// playRegister troubles a group while clients use its register, and checks their history.
func playRegister(seed uint64) error {
	w := newWorld(seed, 3, 1)
	n := newNemesis(w, 3, 2*time.Second)
	n.silent = true
	users := &clients{world: w, until: 2 * time.Second}
	for client := range 4 {
		users.start(client)
	}
	if err := n.settle(); err != nil {
		return err
	}
	w.run(w.now + 2*patience) // whatever has no answer by then is unknown
	if porcupine.CheckOperationsTimeout(registerModel, users.history, 10*time.Second) != porcupine.Ok {
		return errors.New("the register's history is not linearizable")
	}
	return nil
}

var _ = ginkgo.It("serves a register linearizably through troubles", func() {
	Expect(playSeeds(300, playRegister)).To(BeEmpty())
})
