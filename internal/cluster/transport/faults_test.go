package transport

import (
	"context"
	"io"
	"net"
	"strings"
	"syscall"
	"time"

	"github.com/jonboulle/clockwork"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"ospreypond/internal/cluster/failure"
)

// startCall starts a call in a goroutine and returns the channel that gets its error.
func startCall(ctx context.Context, client *Client, address string) <-chan error {
	ended := make(chan error, 1)
	go func() {
		_, err := Call[question, reply](ctx, client, address, &question{Text: "anyone?"})
		ended <- err
	}()
	return ended
}

// expectKind waits for the error of a call and checks its kind.
func expectKind(ended <-chan error, kind failure.Kind) {
	GinkgoHelper()
	var err error
	Eventually(ended).WithTimeout(soon).Should(Receive(&err))
	Expect(failure.KindOf(err)).To(Equal(kind), "%v", err)
}

var _ = Describe("A client", func() {
	ctx := context.Background()

	It("returns Unavailable if the peer refuses connections, and dials again only after a growing backoff", func() {
		clock := clockwork.NewFakeClock()
		dialed := 0
		client := newTestClient(ClientOptions{Clock: clock, Dial: func(context.Context, string) (net.Conn, error) {
			dialed++
			return nil, syscall.ECONNREFUSED
		}})
		for _, backoff := range []time.Duration{50, 100, 200, 400, 500, 500} {
			attempt := dialed
			expectKind(startCall(ctx, client, "a"), failure.Unavailable)
			Expect(dialed).To(Equal(attempt + 1))
			clock.Advance(backoff*time.Millisecond - 1)
			expectKind(startCall(ctx, client, "a"), failure.Unavailable)
			Expect(dialed).To(Equal(attempt + 1))
			clock.Advance(1)
		}
	})

	It("returns Unavailable if it cannot dial the peer within DialTimeout", func() {
		client := newTestClient(ClientOptions{DialTimeout: time.Millisecond, Dial: func(ctx context.Context, _ string) (net.Conn, error) {
			<-ctx.Done()
			return nil, ctx.Err()
		}})
		expectKind(startCall(ctx, client, "a"), failure.Unavailable)
	})

	It("returns Unavailable if the caller gives up while it dials, and never sends the request", func() {
		connect := make(chan struct{})
		dialed := newPipes()
		client := newTestClient(ClientOptions{Dial: func(context.Context, string) (net.Conn, error) {
			<-connect
			return dialed.dial(ctx, "a")
		}})
		waiting, cancel := context.WithCancel(ctx)
		ended := startCall(waiting, client, "a")
		Eventually(func() bool { return hasCalls(client, "a") }).WithTimeout(soon).Should(BeTrue())
		cancel()
		expectKind(ended, failure.Unavailable)
		Send(client, "a", &notice{Text: "after"})
		close(connect)
		in := greeted(dialed.end())
		h, err := in.next()
		Expect(err).NotTo(HaveOccurred())
		Expect(h.kind).To(Equal(frameMessage))
	})

	It("returns UnknownOutcome if the peer closes after it read the request, and dials for the next call", func() {
		dialed := newPipes()
		client := newTestClient(ClientOptions{Dial: dialed.dial})
		ended := startCall(ctx, client, "a")
		far := dialed.end()
		in := greeted(far)
		_, err := in.next()
		Expect(err).NotTo(HaveOccurred())
		Expect(in.skip()).To(Succeed())
		// If the connection ended before the greeting arrived, the next dial would wait for a backoff.
		Eventually(func() bool { return isEstablished(client, "a") }).WithTimeout(soon).Should(BeTrue())
		_ = far.Close()
		expectKind(ended, failure.UnknownOutcome)
		ended = startCall(ctx, client, "a")
		_ = dialed.end().Close()
		expectKind(ended, failure.Unavailable)
	})

	It("returns Unavailable if the peer closes the connection before it read the complete request", func() {
		dialed := newPipes()
		client := newTestClient(ClientOptions{Dial: dialed.dial})
		ended := startCall(ctx, client, "a")
		far := dialed.end()
		_, err := io.ReadFull(far, make([]byte, len(greetingOf(""))+20))
		Expect(err).NotTo(HaveOccurred())
		_ = far.Close()
		expectKind(ended, failure.Unavailable)
	})

	It("sends two pings if the peer stops responding, then returns UnknownOutcome", func() {
		clock := clockwork.NewFakeClock()
		dialed := newPipes()
		client := newTestClient(ClientOptions{Clock: clock, Dial: dialed.dial})
		ended := startCall(ctx, client, "a")
		far := dialed.end()
		in := greeted(far)
		Eventually(func() bool { return isEstablished(client, "a") }).WithTimeout(soon).Should(BeTrue())
		for range 3 {
			advance(clock, DefaultProbeInterval)
		}
		pings := 0
		for pings < 2 { // a pipe has no buffer: the client's writes wait until they are read
			h, err := in.next()
			Expect(err).NotTo(HaveOccurred())
			Expect(in.skip()).To(Succeed())
			if h.kind == framePing {
				pings++
			}
		}
		Expect(ended).NotTo(Receive())
		advance(clock, DefaultProbeInterval)
		expectKind(ended, failure.UnknownOutcome)
	})

	It("keeps the connection and waits for the response while the peer answers pings", func() {
		clock := clockwork.NewFakeClock()
		server := NewServer(ServerOptions{})
		replies := make(chan func(*reply, error), 1)
		HandleAsync(server, func(_ string, _ *question, respond func(*reply, error)) { replies <- respond })
		address := serve(server)
		client := newTestClient(ClientOptions{Clock: clock})
		ended := startCall(ctx, client, address)
		var respond func(*reply, error)
		Eventually(replies).WithTimeout(soon).Should(Receive(&respond))
		Eventually(func() bool { return isEstablished(client, address) }).WithTimeout(soon).Should(BeTrue())
		advance(clock, DefaultProbeInterval)
		for range 10 {
			before := readsOf(client, address)
			advance(clock, DefaultProbeInterval)
			Eventually(func() uint64 { return readsOf(client, address) }).WithTimeout(soon).Should(BeNumerically(">", before))
			advance(clock, DefaultProbeInterval)
		}
		respond(&reply{}, nil)
		Eventually(ended).WithTimeout(soon).Should(Receive(BeNil()))
	})

	It("closes the connection after WriteTimeout if the peer reads nothing", func() {
		dialed := newPipes()
		client := newTestClient(ClientOptions{Dial: dialed.dial, WriteTimeout: time.Millisecond})
		ended := startCall(ctx, client, "a")
		dialed.end()
		expectKind(ended, failure.Unavailable)
	})

	It("drops messages and fails calls beyond MaxQueueBytes if the peer reads nothing, and still calls other peers", func() {
		server := NewServer(ServerOptions{})
		Handle(server, func(_ context.Context, _ string, q *question) (*reply, error) { return &reply{Text: q.Text}, nil })
		address := serve(server)
		stuck := newPipes()
		client := newTestClient(ClientOptions{MaxQueueBytes: 10000, Dial: func(ctx context.Context, a string) (net.Conn, error) {
			if a == "stuck" {
				return stuck.dial(ctx, a)
			}
			return dial(ctx, a)
		}})
		for range 1000 {
			Send(client, "stuck", &notice{Text: strings.Repeat("x", 100)})
		}
		stuck.end()
		Expect(len(queued(client, "stuck"))).To(BeNumerically("<", 11000))
		_, err := Call[question, reply](ctx, client, "stuck", &question{})
		Expect(failure.KindOf(err)).To(Equal(failure.Unavailable))
		response, err := Call[question, reply](ctx, client, address, &question{Text: "others"})
		Expect(err).NotTo(HaveOccurred())
		Expect(response.Text).To(Equal("others"))
	})

	It("returns UnknownOutcome if ctx ends before the peer has answered, and ignores the late response", func() {
		server := NewServer(ServerOptions{})
		replies := make(chan func(*reply, error), 1)
		HandleAsync(server, func(_ string, _ *question, respond func(*reply, error)) { replies <- respond })
		Handle(server, func(context.Context, string, *nothing) (*reply, error) { return &reply{Text: "on time"}, nil })
		address := serve(server)
		client := newTestClient(ClientOptions{})
		waiting, cancel := context.WithCancel(ctx)
		ended := startCall(waiting, client, address)
		var respond func(*reply, error)
		Eventually(replies).WithTimeout(soon).Should(Receive(&respond))
		cancel()
		expectKind(ended, failure.UnknownOutcome)
		respond(&reply{Text: "late", Inner: inner{Values: []int{1}}}, nil)
		got, err := Call[nothing, reply](ctx, client, address, &nothing{})
		Expect(err).NotTo(HaveOccurred())
		Expect(got.Text).To(Equal("on time"))
	})

	It("closes the connection if it receives nothing until the deadline of a long poll", func() {
		dialed := newPipes()
		clock := clockwork.NewFakeClock()
		client := newTestClient(ClientOptions{Dial: dialed.dial, Clock: clock})
		bounded, cancel := clockwork.WithTimeout(ctx, clock, time.Second)
		defer cancel()
		ended := make(chan error, 1)
		go func() {
			_, err := CallLong[question, reply](bounded, client, "a", &question{})
			ended <- err
		}()
		far := dialed.end()
		in := greeted(far)
		_, err := in.next()
		Expect(err).NotTo(HaveOccurred())
		Expect(in.skip()).To(Succeed())
		Eventually(func() bool { return isEstablished(client, "a") }).WithTimeout(soon).Should(BeTrue())
		setReadsBefore(client, "a")
		clock.Advance(time.Second)
		expectKind(ended, failure.UnknownOutcome)
		_, err = in.next()
		Expect(err).To(Equal(io.EOF))
	})

	It("logs the peer's address if the peer speaks another protocol", func() {
		dialed := newPipes()
		logged := newLines()
		client := newTestClient(ClientOptions{Dial: dialed.dial, Logger: logged})
		ended := startCall(ctx, client, "a")
		far := dialed.end()
		_, err := newFrameDecoder(far, DefaultMaxFrameBytes).greeting()
		Expect(err).NotTo(HaveOccurred())
		go func() { _, _ = far.Write([]byte("HTTP/1.1 400")) }()
		go func() { _, _ = io.Copy(io.Discard, far) }()
		expectKind(ended, failure.UnknownOutcome)
		Eventually(logged.channel).WithTimeout(soon).Should(Receive(ContainElements("peer", "a")))
	})
})

var _ = Describe("A client that is closed", func() {
	It("fails its pending calls and further ones", func() {
		server := NewServer(ServerOptions{})
		replies := make(chan func(*reply, error), 1)
		HandleAsync(server, func(_ string, _ *question, respond func(*reply, error)) { replies <- respond })
		address := serve(server)
		client := NewClient(ClientOptions{})
		ended := startCall(context.Background(), client, address)
		Eventually(replies).WithTimeout(soon).Should(Receive())
		client.Close()
		expectKind(ended, failure.UnknownOutcome)
		expectKind(startCall(context.Background(), client, address), failure.Unavailable)
	})
})

// connectionOf returns the client's current connection to an address, or nil.
func connectionOf(c *Client, address string) *connection {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if p := c.peers[address]; p != nil {
		return p.current()
	}
	return nil
}

// isEstablished reports whether the server's greeting has arrived on the connection to an address.
func isEstablished(c *Client, address string) bool {
	current := connectionOf(c, address)
	if current == nil {
		return false
	}
	current.mutex.Lock()
	defer current.mutex.Unlock()
	return current.established
}

// hasCalls reports whether calls to an address are pending.
func hasCalls(c *Client, address string) bool {
	current := connectionOf(c, address)
	if current == nil {
		return false
	}
	current.mutex.Lock()
	defer current.mutex.Unlock()
	return len(current.calls) > 0
}

// readsOf returns the count of reads from the connection to an address.
func readsOf(c *Client, address string) uint64 { return connectionOf(c, address).reads() }

// setReadsBefore changes the pending calls as if they had started after the greeting arrived. They started before, so the
// client would otherwise take the greeting for bytes received during the call.
func setReadsBefore(c *Client, address string) {
	current := connectionOf(c, address)
	count := current.reads()
	current.mutex.Lock()
	defer current.mutex.Unlock()
	for _, waiting := range current.calls {
		waiting.readsBefore = count
	}
}

// queued returns the bytes that are queued for an address.
func queued(c *Client, address string) []byte {
	out := connectionOf(c, address).out
	out.mutex.Lock()
	defer out.mutex.Unlock()
	return out.pending
}
