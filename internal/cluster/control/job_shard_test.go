package control

import (
	"runtime/debug"
	"time"

	"github.com/go-kit/log"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"ospreypond/internal/cluster/consensus"
	"ospreypond/internal/cluster/jobs"
	"ospreypond/internal/cluster/protocol"
	"ospreypond/internal/cluster/replica"
	"ospreypond/internal/cluster/scheduler"
	"ospreypond/internal/store/vfs"
)

// discarded is a Sender that discards all envelopes.
type discarded struct{}

func (discarded) Send(string, *replica.Envelope) {}

var _ = Describe("A shard of jobs", func() {
	const timeOfDay = 1_000_000

	It("proposes a rejected command again only in the next tick", func() {
		// The engine rejects the command before Propose returns. Proposing again at once would be endless recursion, which this
		// limit of the stack stops before the memory is exhausted.
		const maxStackBytes = 8 << 20
		defer debug.SetMaxStack(debug.SetMaxStack(maxStackBytes))

		shard := newJobShard(1, scheduler.Options{}, jobs.Options{}, func() int64 { return timeOfDay }, log.NewNopLogger(), newTaskTimeMetrics())
		engine, err := replica.Open(replica.Options{
			FileSystem: vfs.OS{},
			Dir:        GinkgoT().TempDir(),
			Groups:     map[replica.GroupID]replica.StateMachine{1: shard},
			Self:       consensus.Member{Node: "n", Zone: "z", Address: "127.0.0.1:1"},
			Peers:      []string{"127.0.0.1:2"},
			Sender:     discarded{},
		})
		Expect(err).NotTo(HaveOccurred())
		shard.engine = engine
		shard.wake = func() {}

		job := protocol.JobSpec{Steps: []protocol.Step{{Count: 1, CPU: 100}}, Repetitions: 2, FirstRunMs: timeOfDay - 10,
			IntervalMs: 1000}
		shard.state.Apply(&jobs.Command{TimeOfDayMs: timeOfDay - 20, Submits: []jobs.Submit{{
			ID: "5c0e7a21d94b36f8", Job: job, Queue: protocol.Queue{Key: "host/queue/", Service: "service", MaxAttempts: 1}}}})
		_, due := shard.state.NextDueMs()
		Expect(due).To(BeTrue())

		shard.Leading(1) // as after a freeze, the shard takes itself for the owner although the engine is not the leader
		for range 3 {
			shard.tick()
			Expect(shard.deadline(0)).To(BeNumerically(">=", 10*time.Millisecond))
		}
	})
})
