package replica

import (
	"time"

	"github.com/jonboulle/clockwork"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"ospreypond/internal/cluster/failure"
)

// interruptedClock calls interrupt each time the loop has read the time, as if the process were frozen right then.
type interruptedClock struct {
	clockwork.Clock
	interrupt func()
}

// Since reads the time, and is interrupted before the caller has it.
func (c *interruptedClock) Since(start time.Time) time.Duration {
	read := c.Clock.Since(start)
	c.interrupt()
	return read
}

// requestConfirmation requests a confirmation from a machine for group 0, and returns where its outcome will be.
func requestConfirmation(m *machine) *confirmationOutcome {
	outcome := &confirmationOutcome{}
	m.engine.Do(func() { m.engine.ConfirmLeadership(0, outcome.take) })
	return outcome
}

type confirmationOutcome struct {
	called bool
	err    error
}

func (o *confirmationOutcome) take(err error) { o.called, o.err = true, err }

var _ = Describe("The time of a step", func() {
	It("is one by which all inputs of the step had arrived, wherever a freeze falls", func() {
		const freeze = 20 * time.Second
		c := newCluster(1, 1)
		c.startFirst(1)
		c.awaitLeaders()
		engine := c.leader(0).engine
		var came, handled time.Duration
		frozen := false
		engine.options.Clock = &interruptedClock{Clock: c.clock, interrupt: func() {
			if frozen {
				return
			}
			frozen = true
			c.clock.Advance(freeze)
			came = c.clock.Since(engine.started)
			engine.Do(func() { handled = engine.Now() })
		}}
		engine.step()
		engine.step()
		Expect(came).To(BeNumerically(">", freeze))
		Expect(handled).To(BeNumerically(">=", came))
	})
})

var _ = Describe("A round of heartbeats", func() {
	// idleCluster returns a cluster of three whose leader has nothing in progress.
	idleCluster := func() (*cluster, *machine) {
		c := newCluster(1, 1)
		c.startFirst(3)
		c.commit(0, 1, 10)
		c.converge()
		c.run(time.Second)
		return c, c.leader(0)
	}

	It("does not confirm a request made after it had left, even while the clock stands still", func() {
		c, leader := idleCluster()
		early := requestConfirmation(leader)
		leader.engine.step() // the round leaves
		late := requestConfirmation(leader)
		c.loss = 1
		leader.engine.step() // what this step sends is lost
		c.loss = 0
		Expect(c.until(2*linkDelay, func() bool { return early.called })).To(BeTrue())
		Expect(early.err).NotTo(HaveOccurred())
		Expect(late.called).To(BeFalse())
		Expect(c.until(time.Second, func() bool { return late.called })).To(BeTrue())
		Expect(late.err).NotTo(HaveOccurred())
	})

	It("leaves only after all functions of its step, and confirms the requests of each", func() {
		c, leader := idleCluster()
		leader.engine.step() // whatever else was due
		c.run(time.Millisecond)
		sent := c.sent
		var sentAtRequest []int
		var outcomes []*confirmationOutcome
		for range 3 {
			outcome := &confirmationOutcome{}
			outcomes = append(outcomes, outcome)
			leader.engine.Do(func() {
				sentAtRequest = append(sentAtRequest, c.sent)
				leader.engine.ConfirmLeadership(0, outcome.take)
				leader.engine.processOutputs() // hands out what the group wants sent at once
			})
		}
		leader.engine.step()
		Expect(sentAtRequest).To(HaveEach(sent))
		Expect(c.sent).To(BeNumerically(">", sent))
		Expect(c.until(2*linkDelay, func() bool { return outcomes[2].called })).To(BeTrue())
		for _, outcome := range outcomes {
			Expect(outcome.called).To(BeTrue())
			Expect(outcome.err).NotTo(HaveOccurred())
		}
	})

	It("confirms nothing for a leader that wakes up after another was elected, with the old round's answers unread", func() {
		c, old := idleCluster()
		before := requestConfirmation(old)
		old.engine.step() // the round leaves, and its answers wait unread
		old.frozen = true
		c.commit(0, 1, 10)
		Expect(c.leader(0)).NotTo(Equal(old))
		after := requestConfirmation(old)
		old.frozen = false
		old.wake()
		Expect(c.until(2*time.Second, func() bool { return before.called && after.called })).To(BeTrue())
		Expect(failure.KindOf(after.err)).To(Equal(failure.NotLeader))
	})
})

var _ = Describe("A disk that is far behind", func() {
	It("makes proposals fail as unavailable", func() {
		c := newCluster(1, 1)
		c.startFirst(1)
		c.awaitLeaders()
		leader := c.leader(0)
		leader.diskDelay = time.Hour
		var refused error
		leader.engine.Do(func() {
			for refused == nil {
				leader.engine.Propose(0, make([]byte, 1<<20), func(_ any, err error) { refused = err })
				leader.engine.processOutputs()
			}
		})
		leader.engine.step()
		Expect(failure.KindOf(refused)).To(Equal(failure.Unavailable))
	})
})
