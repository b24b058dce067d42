package administration_test

import (
	"context"
	"fmt"
	"net"
	"path/filepath"
	"time"

	"github.com/go-kit/log"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"ospreypond/internal/cluster/administration"
	"ospreypond/internal/cluster/administration/archive"
	"ospreypond/internal/cluster/boot"
	"ospreypond/internal/cluster/control"
	"ospreypond/internal/cluster/failure"
	"ospreypond/internal/cluster/protocol"
	"ospreypond/internal/cluster/transport"
	"ospreypond/internal/loopbacktest"
)

const startTimeout = 20 * time.Second

// process is a control process that runs inside the test.
type process struct {
	settings *boot.Settings
	client   *administration.Client
	stop     func()
}

// runControl runs a control process, the only one of its system, until the test ends or stop is called.
func runControl(dir string, bootstrap bool) *process {
	ip, internal, operator, err := loopbacktest.FreePorts()
	Expect(err).NotTo(HaveOccurred())
	settings := &boot.Settings{
		NodeName:      "n1",
		IP:            ip,
		Zone:          "z",
		Listen:        map[string]string{boot.ListenControl: fmt.Sprintf("%s:%d", ip, operator)},
		InternalPorts: [2]int{internal, internal},
		Seeds:         []string{net.JoinHostPort(ip, "1")}, // of itself: the ports are the same on all machines
		Bootstrap:     bootstrap,
		Bounds:        boot.DefaultBounds(),
		DataDir:       dir,
		Limits:        boot.Limits{DiskMB: 128},
	}
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- control.Run(ctx, settings, log.NewNopLogger()) }()
	p := &process{settings: settings, client: dial(settings.InternalAddress())}
	p.stop = func() {
		if ctx.Err() == nil {
			cancel()
			Eventually(ended, startTimeout).Should(Receive(BeNil()))
		}
	}
	DeferCleanup(p.stop)
	return p
}

// ready waits until the process owns all shards.
func (p *process) ready() {
	Eventually(func(g Gomega) {
		reports, err := p.client.Reports(within(time.Second))
		g.Expect(err).NotTo(HaveOccurred())
		shards := administration.Shards(reports)
		g.Expect(shards).To(HaveLen(protocol.JobShards + 1))
		for _, shard := range shards {
			g.Expect(shard.Owner).To(Equal("n1"))
		}
	}, startTimeout, 20*time.Millisecond).Should(Succeed())
}

// heartbeat sends a runner's heartbeat to the owner of its service's shard, and returns the orders.
func (p *process) heartbeat(sequence uint64, change func(*protocol.Heartbeat)) *protocol.Orders {
	GinkgoHelper()
	carrier := transport.NewClient(transport.ClientOptions{})
	defer carrier.Close()
	message := protocol.Heartbeat{
		Instance: "i-1", Service: "s", Address: "127.0.0.1:8080", Zone: "z", State: protocol.RunnerReady, Sequence: sequence,
		Capacity: protocol.Resources{CPU: 4000, MemoryMB: 1000}, Labels: []string{"kind", "rack"},
	}
	change(&message)
	response, err := transport.Call[protocol.HeartbeatRequest, protocol.HeartbeatResponse](within(callTimeout), carrier,
		p.settings.InternalAddress(), &protocol.HeartbeatRequest{Shard: protocol.ShardOf("s"), Heartbeat: message})
	Expect(err).NotTo(HaveOccurred())
	return &response.Orders
}

// sameConfigurations expects that the configuration shards of two systems, of one process each, have equal digests. The
// shards of jobs are not compared: they change without requests, for example when a runner's lease ends.
func sameConfigurations(a, b *process) {
	GinkgoHelper()
	first, err := a.client.Digests(within(callTimeout))
	Expect(err).NotTo(HaveOccurred())
	second, err := b.client.Digests(within(callTimeout))
	Expect(err).NotTo(HaveOccurred())
	for shard := range first {
		Expect(first[shard].Members).To(HaveLen(1))
		Expect(first[shard].Members[0].Digest).NotTo(BeEmpty())
	}
	Expect(second[0].Members[0].Digest).To(Equal(first[0].Members[0].Digest))
}

var _ = Describe("a control process", Ordered, func() {
	var p *process

	// The process is the only one of its system. It has a configuration and a job.
	BeforeAll(func() {
		p = runControl(filepath.Join(GinkgoT().TempDir(), "data"), true)
		p.ready()
		version, err := p.client.Configure(within(callTimeout), protocol.ConfigurationReplace, 0, []byte(configurationWith(5, "s")))
		Expect(err).NotTo(HaveOccurred())
		Expect(version).To(Equal(uint64(5)))
		spec := &protocol.JobSpec{Spec: "x", Steps: []protocol.Step{{Count: 3, CPU: 1000}}}
		Expect(p.client.Submit(within(callTimeout), "h/p", id, spec)).To(Succeed())
		Expect(p.client.Submit(within(callTimeout), "h/p/", id, spec)).To(Succeed())
	})

	It("serves the requests of the operator's commands", func() {
		Expect(p.client.Status(within(callTimeout), id)).To(Equal(protocol.JobQueued))
		var orders *protocol.Orders
		sequence := uint64(0)
		Eventually(func() []protocol.StartOrder {
			sequence++
			orders = p.heartbeat(sequence, func(*protocol.Heartbeat) {})
			return orders.Start
		}, callTimeout, time.Millisecond).ShouldNot(BeEmpty())
		Expect(orders.Start).To(HaveLen(3))

		runners, err := p.client.Runners(within(callTimeout))
		Expect(err).NotTo(HaveOccurred())
		Expect(runners).To(HaveLen(1))
		Expect(runners[0].Free).To(Equal(protocol.Resources{CPU: 1000, MemoryMB: 1000}))
		Expect(runners[0].Runs).To(Equal(3))
		Expect(runners[0].State).To(Equal(string(protocol.RunnerReady)))
		Expect(runners[0].HoldMs).To(BeNumerically(">", 0))
		Expect(runners[0].Labels).To(Equal([]string{"kind", "rack"}))

		jobs, err := p.client.Jobs(within(callTimeout), "h/p")
		Expect(err).NotTo(HaveOccurred())
		Expect(jobs).To(HaveLen(1))
		Expect(jobs[0].State).To(Equal(protocol.JobRunning))
		Expect([]int{jobs[0].Done, jobs[0].Running, jobs[0].Tasks}).To(Equal([]int{0, 3, 3}))

		Expect(p.client.Cancel(within(callTimeout), id)).To(Succeed())
		Expect(p.client.Status(within(callTimeout), id)).To(Equal(protocol.JobCancelled))
		err = p.client.Cancel(within(callTimeout), "5c0e7a21d94b36f9")
		Expect(failure.KindOf(err)).To(Equal(failure.Gone))

		reports, err := p.client.Reports(within(callTimeout))
		Expect(err).NotTo(HaveOccurred())
		members := administration.Members(reports)
		Expect(members).To(HaveLen(1))
		Expect(members[0].Leads).To(Equal(protocol.JobShards + 1))
		Expect(members[0].Unhealthy()).To(BeFalse())
		Expect(administration.Shards(reports)[0].ConfigurationVersion).To(Equal(uint64(5)))
		Expect(members[0].MemoryBytes).To(BeNumerically(">", 0))
	})

	It("lists jobs page by page", func() {
		spec := &protocol.JobSpec{Steps: []protocol.Step{{Count: 1}}}
		for i := range 12 {
			Expect(p.client.Submit(within(callTimeout), "h/p/", fmt.Sprintf("%016x", i), spec)).To(Succeed())
		}
		carrier := transport.NewClient(transport.ClientOptions{})
		defer carrier.Close()
		page, err := transport.Call[administration.JobsRequest, administration.JobsResponse](within(callTimeout), carrier,
			p.settings.InternalAddress(),
			&administration.JobsRequest{Shard: protocol.ShardOf("s"), After: "0000000000000003", Most: 5})
		Expect(err).NotTo(HaveOccurred())
		Expect(page.More).To(BeTrue())
		Expect(page.Jobs).To(HaveLen(5))
		Expect(page.Jobs[0].ID).To(Equal("0000000000000004"))
		Expect(p.client.Jobs(within(callTimeout), "")).To(HaveLen(13))
	})

	It("rejects requests for a snapshot session or a shard that it doesn't have", func() {
		carrier := transport.NewClient(transport.ClientOptions{})
		defer carrier.Close()
		for _, request := range []administration.SnapshotRequest{{Shard: 1, Session: 99}, {Shard: 1, Session: 99, Offset: -1}} {
			_, err := transport.Call[administration.SnapshotRequest, administration.SnapshotResponse](within(callTimeout), carrier,
				p.settings.InternalAddress(), &request)
			Expect(failure.KindOf(err)).To(Equal(failure.Conflict))
		}
		_, err := transport.Call[administration.SnapshotRequest, administration.SnapshotResponse](within(callTimeout), carrier,
			p.settings.InternalAddress(), &administration.SnapshotRequest{Shard: 77})
		Expect(failure.KindOf(err)).To(Equal(failure.NotLeader))
	})

	It("returns a backup from which another process can be restored", func() {
		before, err := p.client.Backup(within(callTimeout))
		Expect(err).NotTo(HaveOccurred())
		Expect(before.Check()).To(Succeed())
		path := filepath.Join(GinkgoT().TempDir(), "backup")
		Expect(before.Write(path)).To(Succeed())

		read, err := archive.Read(path)
		Expect(err).NotTo(HaveOccurred())
		dir := filepath.Join(GinkgoT().TempDir(), "data")
		Expect(read.Restore(dir, archive.Process{Node: "n1", Zone: "z", Address: "127.0.0.1:1"})).To(Succeed())
		restored := runControl(dir, false)
		restored.ready()
		version, body, err := restored.client.ReadConfiguration(within(callTimeout))
		Expect(err).NotTo(HaveOccurred())
		Expect(version).To(Equal(uint64(5)))
		Expect(body).To(MatchJSON(configurationWith(5, "s")))
		Expect(restored.client.Status(within(callTimeout), id)).To(Equal(protocol.JobCancelled))
		Expect(restored.client.Jobs(within(callTimeout), "")).To(HaveLen(13))
		spec := &protocol.JobSpec{Spec: "x", Steps: []protocol.Step{{Count: 3, CPU: 1000}}}
		Expect(restored.client.Submit(within(callTimeout), "h/p", id, spec)).To(Succeed(), "the job is known")
		Expect(restored.client.Configure(within(callTimeout), protocol.ConfigurationReplace, 0, []byte(configurationWith(5, "s")))).
			To(Equal(uint64(5)), "the change applied before the backup is acknowledged again")
		_, err = restored.client.Configure(within(callTimeout), protocol.ConfigurationReplace, 0, []byte(configurationWith(5, "other")))
		Expect(failure.KindOf(err)).To(Equal(failure.Conflict), "another change under its number is rejected")
		sameConfigurations(p, restored)
		reports, err := restored.client.Reports(within(callTimeout))
		Expect(err).NotTo(HaveOccurred())
		for i, shard := range administration.Shards(reports) {
			Expect(shard.Term).To(BeNumerically(">", before.Shards[(i+protocol.JobShards)%(protocol.JobShards+1)].Term))
		}
	})

	It("reports how many leaderships it can't transfer, since it is the only process", func() {
		left, err := p.client.Drain(within(callTimeout), "n1")
		Expect(err).NotTo(HaveOccurred())
		Expect(left).To(Equal(protocol.JobShards + 1))
		reports, err := p.client.Reports(within(callTimeout))
		Expect(err).NotTo(HaveOccurred())
		Expect(reports[0].Draining).To(BeTrue())
	})
})
