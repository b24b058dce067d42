package cluster

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"ospreypond/internal/cluster/replica"
	"ospreypond/internal/cluster/simulation"
)

// text is a state machine whose state is the concatenation of all commands.
type text struct {
	state string
	wrong string // appended by Restore
}

func (t *text) Apply(_, _ uint64, data []byte) any {
	t.state += string(data)
	return nil
}

func (t *text) Snapshot() ([]byte, error) { return []byte(t.state), nil }

func (t *text) Restore(data []byte) error {
	t.state = string(data) + t.wrong
	return nil
}

var _ = Describe("The observer of state machines", func() {
	var c *Cluster
	var one, other replica.StateMachine
	var theirs *text

	BeforeEach(func() {
		c = New(simulation.NewDeployment(simulation.NewWorld(1), simulation.SmallSize(), ShortBounds()))
		theirs = &text{}
		one = c.observe(&process{cluster: c, machine: c.controlMachines[0]}, 1, &text{})
		other = c.observe(&process{cluster: c, machine: c.controlMachines[1]}, 1, theirs)
	})

	It("finds nothing if both replicas do the same", func() {
		for index := range uint64(3 * digestInterval) {
			one.Apply(index+1, 1, []byte("x"))
			other.Apply(index+1, 1, []byte("x"))
		}
		Expect(c.divergences).To(BeEmpty())
		Expect(c.stateDigests).To(HaveLen(3))
	})

	It("finds entries that differ in term or content", func() {
		one.Apply(1, 1, []byte("x"))
		other.Apply(1, 2, []byte("x"))
		Expect(c.divergences).To(HaveLen(1))
		one.Apply(2, 2, []byte("x"))
		other.Apply(2, 2, []byte("y"))
		Expect(c.divergences).To(HaveLen(2))
	})

	It("finds states that differ after the same entries", func() {
		theirs.state = "before"
		one.Apply(digestInterval, 1, []byte("x"))
		other.Apply(digestInterval, 1, []byte("x"))
		Expect(c.divergences).To(HaveLen(1))
	})

	It("finds a restored state that differs from its snapshot", func() {
		Expect(one.Restore([]byte("x"))).To(Succeed())
		Expect(c.divergences).To(BeEmpty())
		theirs.wrong = "more"
		Expect(other.Restore([]byte("x"))).To(Succeed())
		Expect(c.divergences).To(HaveLen(1))
	})
})

// deferrer is a state machine that defers a transfer of its leadership.
type deferrer struct{ text }

func (deferrer) DefersTransfer() bool { return true }

var _ = Describe("An observer of a state machine", func() {
	It("passes on that the machine defers a transfer of its leadership", func() {
		c := New(simulation.NewDeployment(simulation.NewWorld(1), simulation.SmallSize(), ShortBounds()))
		p := &process{cluster: c, machine: c.controlMachines[0]}
		Expect(c.observe(p, 1, &deferrer{}).(replica.TransferDeferrer).DefersTransfer()).To(BeTrue())
		Expect(c.observe(p, 1, &text{}).(replica.TransferDeferrer).DefersTransfer()).To(BeFalse())
	})
})

var _ = Describe("The scenarios", func() {
	It("restore snapshots", func() {
		restored := 0
		for seed := range uint64(30) {
			restored += play(1000+seed, Options{}).SnapshotsRestored
		}
		Expect(restored).To(BeNumerically(">", 10))
	})
})
