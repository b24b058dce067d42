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

// alone is a control process that is the only member of the configuration's group, and leads it.
type alone struct {
	control *Control
	engine  *replica.Engine
}

func newAlone() *alone {
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
	a := &alone{control: c, engine: engine}
	Eventually(a.leads).WithTimeout(10 * time.Second).Should(BeTrue())
	return a
}

func (a *alone) leads() bool {
	answer := make(chan bool, 1)
	a.engine.Do(func() { answer <- a.control.configuration.leading })
	return <-answer
}

// freeze stops the loop until thaw is called.
func (a *alone) freeze() (thaw func()) {
	frozen, thawed := make(chan struct{}), make(chan struct{})
	a.engine.Do(func() {
		close(frozen)
		<-thawed
	})
	<-frozen
	return func() { close(thawed) }
}

func replacement(version uint64) *protocol.ConfigureRequest {
	body := []byte(`{"version":` + string(rune('0'+version)) + `,"routes":[],"services":[]}`)
	return &protocol.ConfigureRequest{Kind: protocol.ConfigurationReplace, Base: 0, Body: body}
}

var _ = Describe("an order to a process whose loop is frozen", func() {
	It("is in doubt, and is not begun once its caller has left", func() {
		a := newAlone()
		caller := &ownerCaller{a.control}
		thaw := a.freeze()
		ctx, leave := context.WithCancel(context.Background())
		outcome := make(chan error, 1)
		go func() {
			_, err := caller.Configure(ctx, replacement(3))
			outcome <- err
		}()
		leave()
		Expect(failure.KindOf(<-outcome)).To(Equal(failure.UnknownOutcome))
		thaw()
		response, err := caller.Configure(context.Background(), replacement(5))
		Expect(err).NotTo(HaveOccurred(), "nothing was taken on version 0 before")
		Expect(response.Version).To(Equal(uint64(5)))
	})
})

var _ = Describe("an owner of the configuration", func() {
	It("names no other, and not itself, to those it refuses", func() {
		a := newAlone()
		named := make(chan string, 1)
		a.engine.Do(func() { named <- a.control.configuration.leader() })
		Expect(<-named).To(BeEmpty())
	})
})

var _ = Describe("the largest order", func() {
	It("fits in whatever carries it between processes", func() {
		order := bytes.Repeat([]byte{' '}, operatorBodyBytes)
		entry, err := configuration.EncodeCommand(configuration.Command{Kind: protocol.ConfigurationReplace, Body: order})
		Expect(err).NotTo(HaveOccurred())
		envelopes := make(chan *replica.Envelope, 1)
		server := transport.NewServer(transport.ServerOptions{})
		transport.HandleOneWay(server, func(_ string, envelope *replica.Envelope) { envelopes <- envelope })
		transport.HandleAsync(server, func(_ string, r *protocol.ConfigureRequest, reply func(*protocol.ConfigureResponse, error)) {
			reply(&protocol.ConfigureResponse{Version: uint64(len(r.Body))}, nil)
		})
		transport.HandleAsync(server, func(_ string, _ *protocol.ReadConfigurationRequest, reply func(*protocol.ReadConfigurationResponse, error)) {
			reply(&protocol.ReadConfigurationResponse{Body: order}, nil)
		})
		transport.HandleAsync(server, func(_ string, _ *protocol.WatchRequest, reply func(*protocol.WatchResponse, error)) {
			reply(&protocol.WatchResponse{Configuration: order}, nil)
		})
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		go server.Serve(context.Background(), listener)
		DeferCleanup(server.Close)
		client := transport.NewClient(transport.ClientOptions{})
		DeferCleanup(client.Close)
		address := listener.Addr().String()
		ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
		defer cancel()

		configured, err := transport.Call[protocol.ConfigureRequest, protocol.ConfigureResponse](ctx, client, address,
			&protocol.ConfigureRequest{Kind: protocol.ConfigurationReplace, Body: order})
		Expect(err).NotTo(HaveOccurred())
		Expect(configured.Version).To(Equal(uint64(operatorBodyBytes)))
		read, err := transport.Call[protocol.ReadConfigurationRequest, protocol.ReadConfigurationResponse](ctx, client, address,
			&protocol.ReadConfigurationRequest{})
		Expect(err).NotTo(HaveOccurred())
		Expect(read.Body).To(HaveLen(operatorBodyBytes))
		watched, err := transport.Call[protocol.WatchRequest, protocol.WatchResponse](ctx, client, address, &protocol.WatchRequest{})
		Expect(err).NotTo(HaveOccurred())
		Expect(watched.Configuration).To(HaveLen(operatorBodyBytes))

		message := consensus.Message{Kind: consensus.MessageAppend, Entries: []consensus.Entry{{Index: 1, Data: entry}}}
		transport.Send(client, address, &replica.Envelope{Messages: []consensus.Message{message}})
		var received *replica.Envelope
		Eventually(envelopes).WithTimeout(20 * time.Second).Should(Receive(&received))
		Expect(received.Messages[0].Entries[0].Data).To(HaveLen(len(entry)))
	})
})
