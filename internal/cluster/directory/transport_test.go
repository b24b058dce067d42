package directory

import (
	"context"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"ospreypond/internal/cluster/failure"
	"ospreypond/internal/cluster/protocol"
	"ospreypond/internal/cluster/transport"
)

var _ = Describe("A Directory over the transport", func() {
	It("finds the owners for its watch and its calls by the hint of a seed", func() {
		owner := transport.NewServer(transport.ServerOptions{})
		var address string
		transport.HandleAsync(owner, func(_ string, r *protocol.WatchRequest, answer func(*protocol.WatchResponse, error)) {
			if r.Version == 3 {
				return // the owner has no newer version and leaves the watch unanswered
			}
			answer(&protocol.WatchResponse{Version: 3, Configuration: []byte("{}"), OwnersAt: 1,
				Owners: map[protocol.ShardID]string{0: address, 1: address}}, nil)
		})
		transport.HandleAsync(owner, func(_ string, r *protocol.StatusRequest, answer func(*protocol.StatusResponse, error)) {
			if r.ID != "known" {
				answer(nil, failure.New(failure.Gone, "no such job"))
				return
			}
			answer(&protocol.StatusResponse{State: protocol.JobRunning}, nil)
		})
		address = serve(owner)
		other := transport.NewServer(transport.ServerOptions{})
		transport.HandleAsync(other, func(_ string, _ *protocol.WatchRequest, answer func(*protocol.WatchResponse, error)) {
			answer(nil, notLeader(address))
		})
		seed := serve(other)

		client := transport.NewClient(transport.ClientOptions{Name: "here"})
		DeferCleanup(client.Close)
		changes := make(chan uint64, 10)
		d := New(Options{Client: client, Seeds: []string{seed}, Node: "here",
			OnConfiguration: func(version uint64, _ []byte) error {
				changes <- version
				return nil
			}})
		ctx, cancel := context.WithCancel(context.Background())
		ended := make(chan struct{})
		go func() {
			d.Run(ctx)
			close(ended)
		}()
		Eventually(changes).WithTimeout(soon).Should(Receive(Equal(uint64(3))))
		Eventually(func() string { return d.Owner(1) }).WithTimeout(soon).Should(Equal(address))
		status, err := Call[protocol.StatusRequest, protocol.StatusResponse](ctx, d, 1, &protocol.StatusRequest{ID: "known"}, true)
		Expect(err).NotTo(HaveOccurred())
		Expect(status.State).To(Equal(protocol.JobState(protocol.JobRunning)))
		_, err = Call[protocol.StatusRequest, protocol.StatusResponse](ctx, d, 1, &protocol.StatusRequest{ID: "other"}, true)
		Expect(failure.KindOf(err)).To(Equal(failure.Gone))
		Expect(d.Fresh(time.Minute)).To(BeTrue())
		cancel()
		Eventually(ended).WithTimeout(soon).Should(BeClosed())
	})
})

// serve starts a server on a loopback address and returns the address. The server is closed when the test ends.
func serve(s *transport.Server) string {
	listener, err := transport.Listen(context.Background(), "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	served := make(chan error, 1)
	go func() { served <- s.Serve(context.Background(), listener) }()
	DeferCleanup(func() {
		s.Close()
		Eventually(served).WithTimeout(soon).Should(Receive(BeNil()))
	})
	return listener.Addr().String()
}
