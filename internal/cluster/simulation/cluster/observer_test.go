package cluster

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"ospreypond/internal/cluster/replica"
	"ospreypond/internal/cluster/simulation"
)

// concatenation is a state machine that concatenates all commands to form its state.
type concatenation struct {
	state      string
	corruption string // appended to the state by Restore, so that it differs from the snapshot
}

func (c *concatenation) Apply(_, _ uint64, data []byte) any {
	c.state += string(data)
	return nil
}

func (c *concatenation) Snapshot() ([]byte, error) { return []byte(c.state), nil }

func (c *concatenation) Restore(data []byte) error {
	c.state = string(data) + c.corruption
	return nil
}

var _ = Describe("The observer of state machines", func() {
	var c *Cluster
	var first, second replica.StateMachine
	var secondState *concatenation

	BeforeEach(func() {
		c = New(simulation.NewDeployment(simulation.NewWorld(1), simulation.SmallSize(), ShortBounds()))
		secondState = &concatenation{}
		first = c.observe(&process{cluster: c, machine: c.controlMachines[0]}, 1, &concatenation{})
		second = c.observe(&process{cluster: c, machine: c.controlMachines[1]}, 1, secondState)
	})

	It("records no divergence if both replicas apply the same commands", func() {
		for index := range uint64(3 * digestInterval) {
			first.Apply(index+1, 1, []byte("x"))
			second.Apply(index+1, 1, []byte("x"))
		}
		Expect(c.divergences).To(BeEmpty())
		Expect(c.stateDigests).To(HaveLen(3))
	})

	It("records a divergence for entries that differ in term or data", func() {
		first.Apply(1, 1, []byte("x"))
		second.Apply(1, 2, []byte("x"))
		Expect(c.divergences).To(HaveLen(1))
		first.Apply(2, 2, []byte("x"))
		second.Apply(2, 2, []byte("y"))
		Expect(c.divergences).To(HaveLen(2))
	})

	It("records a divergence for states that differ after the same entry", func() {
		secondState.state = "before"
		first.Apply(digestInterval, 1, []byte("x"))
		second.Apply(digestInterval, 1, []byte("x"))
		Expect(c.divergences).To(HaveLen(1))
	})

	It("records a divergence for a restored state that differs from its snapshot", func() {
		Expect(first.Restore([]byte("x"))).To(Succeed())
		Expect(c.divergences).To(BeEmpty())
		secondState.corruption = "more"
		Expect(second.Restore([]byte("x"))).To(Succeed())
		Expect(c.divergences).To(HaveLen(1))
	})
})

// deferringMachine is a state machine that implements replica.TransferDeferrer and always defers.
type deferringMachine struct{ concatenation }

func (deferringMachine) DefersTransfer() bool { return true }

var _ = Describe("An observer of a state machine", func() {
	It("defers a transfer of its leadership only if the wrapped state machine does", func() {
		c := New(simulation.NewDeployment(simulation.NewWorld(1), simulation.SmallSize(), ShortBounds()))
		p := &process{cluster: c, machine: c.controlMachines[0]}
		Expect(c.observe(p, 1, &deferringMachine{}).(replica.TransferDeferrer).DefersTransfer()).To(BeTrue())
		Expect(c.observe(p, 1, &concatenation{}).(replica.TransferDeferrer).DefersTransfer()).To(BeFalse())
	})
})

// Guards against scenarios without any restored snapshot: they would leave the code that restores snapshots untested.
var _ = Describe("The scenarios of the first seeds", func() {
	It("make control processes restore snapshots", func() {
		restored := 0
		for seed := range uint64(30) {
			restored += play(1000+seed, Options{}).SnapshotsRestored
		}
		Expect(restored).To(BeNumerically(">", 10))
	})
})
