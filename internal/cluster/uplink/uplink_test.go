package uplink

import (
	"context"
	"net"
	"os"
	"sync/atomic"
	"testing"

	"github.com/go-kit/log"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"ospreypond/internal/cluster/boot"
	"ospreypond/internal/cluster/directory"
	"ospreypond/internal/cluster/failure"
)

func TestUplink(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "Connection to the control plane")
}

// unreachable is a client that reaches no process.
type unreachable struct{}

func (unreachable) Do(context.Context, string, any, any) error {
	return failure.New(failure.Unavailable, "unreachable")
}

func (u unreachable) DoLong(ctx context.Context, address string, request, response any) error {
	return u.Do(ctx, address, request, response)
}

// fakeProcess is a Follower that runs until its context ends.
type fakeProcess struct {
	started chan struct{} // closed when Run begins
	ended   atomic.Bool   // Run has ended
}

// Run waits for the end of ctx.
func (p *fakeProcess) Run(ctx context.Context) {
	close(p.started)
	<-ctx.Done()
	p.ended.Store(true)
}

var _ = Describe("Follow", func() {
	It("runs the process also after the end of its context, until the returned function has stopped it", func() {
		ctx, cancel := context.WithCancel(context.Background())
		process := &fakeProcess{started: make(chan struct{})}
		stop := Follow(ctx, Options{
			Process:  process,
			Known:    NewDirectory(directory.Options{Client: unreachable{}}),
			Settings: &boot.Settings{},
			Hangups:  make(chan os.Signal),
			Logger:   log.NewNopLogger(),
		})
		Eventually(process.started).Should(BeClosed())
		cancel()
		Consistently(process.ended.Load, "30ms").Should(BeFalse())
		stop()
		Expect(process.ended.Load()).To(BeTrue())
	})
})

var _ = Describe("Listen", func() {
	It("opens a listener on each endpoint", func() {
		listeners, err := Listen(context.Background(),
			Endpoint{Address: "127.0.0.1:0", Purpose: "the first"}, Endpoint{Address: "127.0.0.1:0", Purpose: "the second"})
		Expect(err).NotTo(HaveOccurred())
		Expect(listeners).To(HaveLen(2))
		for _, listener := range listeners {
			Expect(listener.Close()).To(Succeed())
		}
	})

	It("closes the other listeners if one fails, and names the purpose of that one", func() {
		free, err := Listen(context.Background(), Endpoint{Address: "127.0.0.1:0"})
		Expect(err).NotTo(HaveOccurred())
		address := free[0].Addr().String()
		Expect(free[0].Close()).To(Succeed())

		_, err = Listen(context.Background(),
			Endpoint{Address: address, Purpose: "the first"}, Endpoint{Address: "nowhere", Purpose: "the second"})
		Expect(err).To(MatchError(ContainSubstring("listen for the second")))
		listener, err := new(net.ListenConfig).Listen(context.Background(), "tcp", address)
		Expect(err).NotTo(HaveOccurred(), "the first listener is closed")
		Expect(listener.Close()).To(Succeed())
	})
})
