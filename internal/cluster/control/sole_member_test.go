package control

import (
	"bytes"
	"context"
	"net"
	"time"

	"github.com/go-kit/log"
	"github.com/jonboulle/clockwork"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"ospreypond/internal/cluster/configuration"
	"ospreypond/internal/cluster/consensus"
	"ospreypond/internal/cluster/failure"
	"ospreypond/internal/cluster/protocol"
	"ospreypond/internal/cluster/replica"
	"ospreypond/internal/cluster/transport"
	"ospreypond/internal/store/vfs"
)

// soleMember is a control process without shards of jobs that is the only member of the configuration's group and leads it.
type soleMember struct {
	control *Control
	engine  *replica.Engine
}

// newSoleMember starts the process and waits until it is the leader.
func newSoleMember() *soleMember {
	GinkgoHelper()
	const address = "127.0.0.1:1"
	c := &Control{logger: log.NewNopLogger(), clock: clockwork.NewRealClock(), configuration: newConfigurationShard(log.NewNopLogger())}
	engine, err := replica.Open(replica.Options{
		FileSystem:        vfs.OS{},
		Dir:               GinkgoT().TempDir(),
		Groups:            map[replica.GroupID]replica.StateMachine{uint32(protocol.ConfigurationShard): c.configuration},
		Self:              consensus.Member{Node: "n", Zone: "z", Address: address},
		Bootstrap:         []string{address},
		Sender:            discarded{},
		HeartbeatInterval: 10 * time.Millisecond,
		ElectionTimeout:   50 * time.Millisecond,
	})
	Expect(err).NotTo(HaveOccurred())
	c.engine = engine
	c.configuration.attach(engine, func() {})
	ctx, stop := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- engine.Run(ctx) }()
	DeferCleanup(func() {
		stop()
		Eventually(ended).WithTimeout(10 * time.Second).Should(Receive(BeNil()))
	})
	m := &soleMember{control: c, engine: engine}
	Eventually(m.isLeader).WithTimeout(10 * time.Second).Should(BeTrue())
	return m
}

func (m *soleMember) isLeader() bool {
	leading := make(chan bool, 1)
	m.engine.Do(func() { leading <- m.control.configuration.leading })
	return <-leading
}

// freeze blocks the engine's loop until thaw is called.
func (m *soleMember) freeze() (thaw func()) {
	frozen, thawed := make(chan struct{}), make(chan struct{})
	m.engine.Do(func() {
		close(frozen)
		<-thawed
	})
	<-frozen
	return func() { close(thawed) }
}

// replaceRequest returns the change of an empty configuration to one with this version, from 1 to 9.
func replaceRequest(version uint64) *protocol.ConfigureRequest {
	body := []byte(`{"version":` + string(rune('0'+version)) + `,"routes":[],"services":[]}`)
	return &protocol.ConfigureRequest{Kind: protocol.ConfigurationReplace, Base: 0, Body: body}
}

var _ = Describe("A change that is sent to a process while its loop is frozen", func() {
	It("has an unknown outcome, and is not applied after its caller has given up", func() {
		m := newSoleMember()
		caller := &ownerCaller{m.control}
		thaw := m.freeze()
		ctx, cancel := context.WithCancel(context.Background())
		outcome := make(chan error, 1)
		go func() {
			_, err := caller.Configure(ctx, replaceRequest(3))
			outcome <- err
		}()
		cancel()
		Expect(failure.KindOf(<-outcome)).To(Equal(failure.UnknownOutcome))
		thaw()
		response, err := caller.Configure(context.Background(), replaceRequest(5))
		Expect(err).NotTo(HaveOccurred(), "the first change must not have been applied to version 0")
		Expect(response.Version).To(Equal(uint64(5)))
	})
})

var _ = Describe("The owner of the configuration", func() {
	It("does not name itself as the leader to which callers should go", func() {
		m := newSoleMember()
		named := make(chan string, 1)
		m.engine.Do(func() { named <- m.control.configuration.leader() })
		Expect(<-named).To(BeEmpty())
	})
})

var _ = Describe("A change of the maximum size", func() {
	It("fits in every message that carries it between processes", func() {
		document := bytes.Repeat([]byte{' '}, maxChangeBytes)
		entry, err := configuration.EncodeCommand(configuration.Command{Kind: protocol.ConfigurationReplace, Body: document})
		Expect(err).NotTo(HaveOccurred())
		envelopes := make(chan *replica.Envelope, 1)
		server := transport.NewServer(transport.ServerOptions{})
		transport.HandleOneWay(server, func(_ string, envelope *replica.Envelope) { envelopes <- envelope })
		transport.HandleAsync(server, func(_ string, r *protocol.ConfigureRequest, reply func(*protocol.ConfigureResponse, error)) {
			reply(&protocol.ConfigureResponse{Version: uint64(len(r.Body))}, nil)
		})
		transport.HandleAsync(server, func(_ string, _ *protocol.ReadConfigurationRequest, reply func(*protocol.ReadConfigurationResponse, error)) {
			reply(&protocol.ReadConfigurationResponse{Body: document}, nil)
		})
		transport.HandleAsync(server, func(_ string, _ *protocol.WatchRequest, reply func(*protocol.WatchResponse, error)) {
			reply(&protocol.WatchResponse{Configuration: document}, nil)
		})
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		served := make(chan error, 1)
		go func() { served <- server.Serve(context.Background(), listener) }()
		DeferCleanup(func() {
			server.Close()
			Eventually(served).WithTimeout(10 * time.Second).Should(Receive(BeNil()))
		})
		client := transport.NewClient(transport.ClientOptions{})
		DeferCleanup(client.Close)
		address := listener.Addr().String()
		ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
		defer cancel()

		configured, err := transport.Call[protocol.ConfigureRequest, protocol.ConfigureResponse](ctx, client, address,
			&protocol.ConfigureRequest{Kind: protocol.ConfigurationReplace, Body: document})
		Expect(err).NotTo(HaveOccurred())
		Expect(configured.Version).To(Equal(uint64(maxChangeBytes)))
		read, err := transport.Call[protocol.ReadConfigurationRequest, protocol.ReadConfigurationResponse](ctx, client, address,
			&protocol.ReadConfigurationRequest{})
		Expect(err).NotTo(HaveOccurred())
		Expect(read.Body).To(HaveLen(maxChangeBytes))
		watched, err := transport.Call[protocol.WatchRequest, protocol.WatchResponse](ctx, client, address, &protocol.WatchRequest{})
		Expect(err).NotTo(HaveOccurred())
		Expect(watched.Configuration).To(HaveLen(maxChangeBytes))

		message := consensus.Message{Kind: consensus.MessageAppend, Entries: []consensus.Entry{{Index: 1, Data: entry}}}
		transport.Send(client, address, &replica.Envelope{Messages: []consensus.Message{message}})
		var received *replica.Envelope
		Eventually(envelopes).WithTimeout(20 * time.Second).Should(Receive(&received))
		Expect(received.Messages[0].Entries[0].Data).To(HaveLen(len(entry)))
	})
})
