package cluster

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"ospreypond/internal/cluster/replica"
	"ospreypond/internal/cluster/simulation"
)

// text is a state machine whose state is all that was applied.
type text struct {
	state string
	wrong string // added by Restore
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

var _ = Describe("The comparison of replicas", func() {
	var c *Cluster
	var one, other replica.StateMachine
	var theirs *text

	BeforeEach(func() {
		c = New(simulation.NewDeployment(simulation.NewWorld(1), simulation.SmallSize(), ShortBounds()))
		theirs = &text{}
		one = c.observe(&process{cluster: c, machine: c.controlMachines[0]}, 1, &text{})
		other = c.observe(&process{cluster: c, machine: c.controlMachines[1]}, 1, theirs)
	})

	It("finds nothing where both do the same", func() {
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

	It("finds a state that is not the one of the snapshot it was restored from", func() {
		Expect(one.Restore([]byte("x"))).To(Succeed())
		Expect(c.divergences).To(BeEmpty())
		theirs.wrong = "more"
		Expect(other.Restore([]byte("x"))).To(Succeed())
		Expect(c.divergences).To(HaveLen(1))
	})
})

// deferrer is a state machine that wants to keep its leadership.
type deferrer struct{ text }

func (deferrer) DefersTransfer() bool { return true }

var _ = Describe("The observer of a state machine", func() {
	It("passes on that the machine wants to keep its leadership", func() {
		c := New(simulation.NewDeployment(simulation.NewWorld(1), simulation.SmallSize(), ShortBounds()))
		p := &process{cluster: c, machine: c.controlMachines[0]}
		Expect(c.observe(p, 1, &deferrer{}).(replica.TransferDeferrer).DefersTransfer()).To(BeTrue())
		Expect(c.observe(p, 1, &text{}).(replica.TransferDeferrer).DefersTransfer()).To(BeFalse())
	})
})

var _ = Describe("The days", func() {
	It("have snapshots that are restored", func() {
		restored := 0
		for seed := range uint64(30) {
			restored += playDay(1000+seed, Options{}).SnapshotsRestored
		}
		Expect(restored).To(BeNumerically(">", 10))
	})
})
