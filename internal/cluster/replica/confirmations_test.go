package replica

import (
	"time"

	"github.com/jonboulle/clockwork"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"ospreypond/internal/cluster/failure"
)

// interruptedClock calls interrupt each time the loop has read the time, to simulate a freeze of the process between that
// and the next instruction.
type interruptedClock struct {
	clockwork.Clock
	interrupt func()
}

// Since reads the time, and calls interrupt before it returns that time.
func (c *interruptedClock) Since(start time.Time) time.Duration {
	read := c.Clock.Since(start)
	c.interrupt()
	return read
}

// requestConfirmation has a machine confirm its leadership of group 0. The result is filled in later.
func requestConfirmation(m *machine) *confirmationOutcome {
	outcome := &confirmationOutcome{}
	m.engine.Do(func() { m.engine.ConfirmLeadership(0, outcome.record) })
	return outcome
}

type confirmationOutcome struct {
	called bool
	err    error
}

func (o *confirmationOutcome) record(err error) { o.called, o.err = true, err }

// If a step read its time before it takes its inputs, and the process were frozen in between, an input could arrive long
// after the step's time. A lease that starts at that time would then be wrong by the length of the freeze.
var _ = Describe("The time of a step", func() {
	It("is not before the arrival of any of its inputs, wherever the process is frozen", func() {
		const freeze = 20 * time.Second
		c := newCluster(1, 1)
		c.startFirst(1)
		c.awaitLeaders()
		engine := c.leader(0).engine
		var arrivedAt, handledAt time.Duration
		frozen := false
		engine.options.Clock = &interruptedClock{Clock: c.clock, interrupt: func() {
			if frozen {
				return
			}
			frozen = true
			c.clock.Advance(freeze)
			arrivedAt = c.clock.Since(engine.started)
			engine.Do(func() { handledAt = engine.Now() })
		}}
		engine.step()
		engine.step()
		Expect(arrivedAt).To(BeNumerically(">", freeze))
		Expect(handledAt).To(BeNumerically(">=", arrivedAt))
	})
})

var _ = Describe("A round of heartbeats", func() {
	// idleCluster returns a cluster of three machines, and its leader, which has no proposals or messages in progress.
	idleCluster := func() (*cluster, *machine) {
		c := newCluster(1, 1)
		c.startFirst(3)
		c.commit(0, 1, 10)
		c.converge()
		c.run(time.Second)
		return c, c.leader(0)
	}

	// The second request comes after the round was sent, at the same time of the clock. If the responses to that round
	// confirmed it, a leader could be confirmed that was deposed in between.
	It("does not confirm a request that was made after it was sent, even while the clock stands still", func() {
		c, leader := idleCluster()
		early := requestConfirmation(leader)
		leader.engine.step() // sends the round
		late := requestConfirmation(leader)
		c.loss = 1
		leader.engine.step() // all that this step sends is lost
		c.loss = 0
		Expect(c.until(2*linkDelay, func() bool { return early.called })).To(BeTrue())
		Expect(early.err).NotTo(HaveOccurred())
		Expect(late.called).To(BeFalse())
		Expect(c.until(time.Second, func() bool { return late.called })).To(BeTrue())
		Expect(late.err).NotTo(HaveOccurred())
	})

	It("is sent after all functions of its step have run, and confirms the requests of all of them", func() {
		c, leader := idleCluster()
		leader.engine.step() // sends the envelopes that are due already, so that sent counts only later ones
		c.run(time.Millisecond)
		sent := c.sent
		var sentAtRequest []int
		var outcomes []*confirmationOutcome
		for range 3 {
			outcome := &confirmationOutcome{}
			outcomes = append(outcomes, outcome)
			leader.engine.Do(func() {
				sentAtRequest = append(sentAtRequest, c.sent)
				leader.engine.ConfirmLeadership(0, outcome.record)
				leader.engine.processOutputs() // passes the group's messages to the outbox
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

	// The responses to a round arrive while the leader is frozen. Another leader is elected. When the frozen leader wakes
	// up, it reads the responses. They must not confirm a request that was made after the round.
	It("confirms no request of a leader that wakes up after another was elected, when it reads the responses", func() {
		c, old := idleCluster()
		before := requestConfirmation(old)
		old.engine.step() // sends the round; the responses will wait unread
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

var _ = Describe("A disk with more than maxUnwrittenBytes to write", func() {
	It("makes proposals fail with failure.Unavailable", func() {
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
