package transport

import (
	"context"
	"encoding/binary"
	"io"
	"net"
	"os"
	"strings"
	"syscall"
	"time"

	"github.com/jonboulle/clockwork"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/pkg/errors"

	"ospreypond/internal/failure"
)

// calling starts a call and returns where its end comes out.
func calling(ctx context.Context, client *Client, address string) <-chan error {
	ended := make(chan error, 1)
	go func() {
		_, err := Call[question, reply](ctx, client, address, &question{Text: "anyone?"})
		ended <- err
	}()
	return ended
}

func expectKind(ended <-chan error, kind failure.Kind) {
	GinkgoHelper()
	var err error
	Eventually(ended).WithTimeout(soon).Should(Receive(&err))
	Expect(failure.KindOf(err)).To(Equal(kind), "%v", err)
}

var _ = Describe("A client whose peer", func() {
	ctx := context.Background()

	It("refuses connections gets Unavailable, and tries again after a while that grows", func() {
		clock := clockwork.NewFakeClock()
		dialed := 0
		client := newTestClient(ClientOptions{Clock: clock, Dial: func(context.Context, string) (net.Conn, error) {
			dialed++
			return nil, syscall.ECONNREFUSED
		}})
		for _, pause := range []time.Duration{50, 100, 200, 400, 500, 500} {
			attempt := dialed
			expectKind(calling(ctx, client, "a"), failure.Unavailable)
			Expect(dialed).To(Equal(attempt + 1))
			clock.Advance(pause*time.Millisecond - 1)
			expectKind(calling(ctx, client, "a"), failure.Unavailable)
			Expect(dialed).To(Equal(attempt + 1))
			clock.Advance(1)
		}
	})

	It("cannot be reached in time gets Unavailable", func() {
		client := newTestClient(ClientOptions{DialTimeout: time.Millisecond, Dial: func(ctx context.Context, _ string) (net.Conn, error) {
			<-ctx.Done()
			return nil, ctx.Err()
		}})
		expectKind(calling(ctx, client, "a"), failure.Unavailable)
	})

	It("is still being dialed when the caller gives up gets Unavailable, and sends nothing later", func() {
		connect := make(chan struct{})
		dialed := newPipes()
		client := newTestClient(ClientOptions{Dial: func(context.Context, string) (net.Conn, error) {
			<-connect
			return dialed.dial(ctx, "a")
		}})
		waiting, cancel := context.WithCancel(ctx)
		ended := calling(waiting, client, "a")
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

	It("closes after the request was read gets UnknownOutcome, and connects anew", func() {
		dialed := newPipes()
		client := newTestClient(ClientOptions{Dial: dialed.dial})
		ended := calling(ctx, client, "a")
		far := dialed.end()
		in := greeted(far)
		_, err := in.next()
		Expect(err).NotTo(HaveOccurred())
		Expect(in.skip()).To(Succeed())
		_ = far.Close()
		expectKind(ended, failure.UnknownOutcome)
		ended = calling(ctx, client, "a")
		_ = dialed.end().Close()
		expectKind(ended, failure.Unavailable)
	})

	It("closes in the middle of a request gets Unavailable", func() {
		dialed := newPipes()
		client := newTestClient(ClientOptions{Dial: dialed.dial})
		ended := calling(ctx, client, "a")
		far := dialed.end()
		_, err := io.ReadFull(far, make([]byte, len(appendGreeting(nil, ""))+20))
		Expect(err).NotTo(HaveOccurred())
		_ = far.Close()
		expectKind(ended, failure.Unavailable)
	})

	It("falls silent gets UnknownOutcome within the bound", func() {
		clock := clockwork.NewFakeClock()
		dialed := newPipes()
		client := newTestClient(ClientOptions{Clock: clock, Dial: dialed.dial})
		ended := calling(ctx, client, "a")
		far := dialed.end()
		in := greeted(far)
		Eventually(func() bool { return isStanding(client, "a") }).WithTimeout(soon).Should(BeTrue())
		for range 3 {
			advance(clock, StandardProbeInterval)
		}
		pings := 0
		for pings < 2 { // reading on keeps the client's writes from waiting
			h, err := in.next()
			Expect(err).NotTo(HaveOccurred())
			Expect(in.skip()).To(Succeed())
			if h.kind == framePing {
				pings++
			}
		}
		Expect(ended).NotTo(Receive())
		advance(clock, StandardProbeInterval)
		expectKind(ended, failure.UnknownOutcome)
	})

	It("answers pings is waited for", func() {
		clock := clockwork.NewFakeClock()
		server := NewServer(Options{})
		held := make(chan func(*reply, error), 1)
		HandleAsync(server, func(_ string, _ *question, answer func(*reply, error)) { held <- answer })
		address := serve(server)
		client := newTestClient(ClientOptions{Clock: clock})
		ended := calling(ctx, client, address)
		var answer func(*reply, error)
		Eventually(held).WithTimeout(soon).Should(Receive(&answer))
		Eventually(func() bool { return isStanding(client, address) }).WithTimeout(soon).Should(BeTrue())
		advance(clock, StandardProbeInterval)
		for range 10 {
			before := readsOf(client, address)
			advance(clock, StandardProbeInterval)
			Eventually(func() uint64 { return readsOf(client, address) }).WithTimeout(soon).Should(BeNumerically(">", before))
			advance(clock, StandardProbeInterval)
		}
		answer(&reply{}, nil)
		Eventually(ended).WithTimeout(soon).Should(Receive(BeNil()))
	})

	It("takes nothing is cut after the write timeout", func() {
		dialed := newPipes()
		client := newTestClient(ClientOptions{Dial: dialed.dial, WriteTimeout: time.Millisecond})
		ended := calling(ctx, client, "a")
		dialed.end()
		expectKind(ended, failure.Unavailable)
	})

	It("takes nothing holds up neither messages nor other peers", func() {
		server := NewServer(Options{})
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
		answer, err := Call[question, reply](ctx, client, address, &question{Text: "others"})
		Expect(err).NotTo(HaveOccurred())
		Expect(answer.Text).To(Equal("others"))
	})

	It("has not answered when ctx ends gets UnknownOutcome, and a late answer does no harm", func() {
		server := NewServer(Options{})
		held := make(chan func(*reply, error), 1)
		HandleAsync(server, func(_ string, _ *question, answer func(*reply, error)) { held <- answer })
		Handle(server, func(context.Context, string, *nothing) (*reply, error) { return &reply{Text: "on time"}, nil })
		address := serve(server)
		client := newTestClient(ClientOptions{})
		waiting, cancel := context.WithCancel(ctx)
		ended := calling(waiting, client, address)
		var answer func(*reply, error)
		Eventually(held).WithTimeout(soon).Should(Receive(&answer))
		cancel()
		expectKind(ended, failure.UnknownOutcome)
		answer(&reply{Text: "late", Inner: inner{Values: []int{1}}}, nil)
		got, err := Call[nothing, reply](ctx, client, address, &nothing{})
		Expect(err).NotTo(HaveOccurred())
		Expect(got.Text).To(Equal("on time"))
	})

	It("is silent through a long call has its connection cut", func() {
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
		Eventually(func() bool { return isStanding(client, "a") }).WithTimeout(soon).Should(BeTrue())
		setReadsBefore(client, "a")
		clock.Advance(time.Second)
		expectKind(ended, failure.UnknownOutcome)
		_, err = in.next()
		Expect(err).To(Equal(io.EOF))
	})

	It("speaks another protocol is named in the log", func() {
		dialed := newPipes()
		logged := newLines()
		client := newTestClient(ClientOptions{Dial: dialed.dial, Logger: logged})
		ended := calling(ctx, client, "a")
		far := dialed.end()
		_, err := newInbox(far, StandardMaxFrameBytes).greeting()
		Expect(err).NotTo(HaveOccurred())
		go func() { _, _ = far.Write([]byte("HTTP/1.1 400")) }()
		go func() { _, _ = io.Copy(io.Discard, far) }()
		expectKind(ended, failure.UnknownOutcome)
		Eventually(logged.channel).WithTimeout(soon).Should(Receive(ContainElements("peer", "a")))
	})
})

var _ = Describe("A client that is closed", func() {
	It("ends its calls and takes no more", func() {
		server := NewServer(Options{})
		held := make(chan func(*reply, error), 1)
		HandleAsync(server, func(_ string, _ *question, answer func(*reply, error)) { held <- answer })
		address := serve(server)
		client := NewClient(ClientOptions{})
		ended := calling(context.Background(), client, address)
		Eventually(held).WithTimeout(soon).Should(Receive())
		client.Close()
		expectKind(ended, failure.UnknownOutcome)
		expectKind(calling(context.Background(), client, address), failure.Unavailable)
	})
})

var _ = Describe("A server", func() {
	frame := func(length uint32, content ...byte) []byte {
		return append(binary.BigEndian.AppendUint32(nil, length), content...)
	}
	hello := func(rest ...byte) []byte { return append(appendGreeting(nil, "sur-9"), rest...) }

	DescribeTable("cuts who sends nonsense, and names it",
		func(sent []byte, name string) {
			logged := newLines()
			server := NewServer(Options{Logger: logged, MaxFrameBytes: 1000})
			Handle(server, func(context.Context, string, *question) (*reply, error) { return &reply{}, nil })
			address := serve(server)
			conn, err := net.Dial("tcp", address)
			Expect(err).NotTo(HaveOccurred())
			DeferCleanup(conn.Close)
			_, err = conn.Write(sent)
			Expect(err).NotTo(HaveOccurred())
			_, _ = io.Copy(io.Discard, conn) // until it is cut
			if name == "" {
				name = conn.LocalAddr().String()
			}
			Eventually(logged.channel).WithTimeout(soon).Should(Receive(ContainElements("peer", name)))
		},
		Entry("another protocol", []byte("GET / HTTP/1.1\r\n\r\n"), ""),
		Entry("another version", append([]byte(magic), version+1, 0), ""),
		Entry("a name without end", append([]byte(magic), version, 0xff, 0xff, 0xff, 0xff, 0xff, 0x7f), ""),
		Entry("an empty frame", hello(frame(0)...), "sur-9"),
		Entry("too large a frame", hello(frame(1001)...), "sur-9"),
		Entry("a frame of no kind", hello(frame(1, 200)...), "sur-9"),
		Entry("an answer", hello(frame(3, byte(frameResponse), 1, 0)...), "sur-9"),
		Entry("a pong", hello(frame(1, byte(framePong))...), "sur-9"),
		Entry("a type that was not described", hello(frame(4, byte(frameRequest), 1, 1, 0)...), "sur-9"),
		Entry("a type out of turn", hello(frame(4, byte(frameDefine), 2, 1, 'x')...), "sur-9"),
		Entry("a value that is no gob", hello(frame(7, byte(frameDefine), 1, 1, 'x', 3, 0xff, 0xff)...), "sur-9"),
		Entry("bytes behind a ping", hello(frame(3, byte(framePing), 1, 0)...), "sur-9"),
	)

	It("cuts who never reads its answers", func() {
		server := NewServer(Options{MaxQueueBytes: 1000, WriteTimeout: time.Hour})
		Handle(server, func(context.Context, string, *question) (*reply, error) {
			return &reply{Text: strings.Repeat("x", 1<<20)}, nil
		})
		address := serve(server)
		conn, err := net.Dial("tcp", address)
		Expect(err).NotTo(HaveOccurred())
		out := newOutbox(StandardMaxFrameBytes, StandardMaxQueueBytes, time.Hour, "", func() {})
		Expect(out.attach(conn)).To(BeTrue())
		asked := uint64(0)
		Eventually(func() error {
			asked++
			_, err := out.put(header{kind: frameRequest, id: asked}, &question{})
			return err
		}).WithTimeout(soon).WithPolling(time.Millisecond).Should(HaveOccurred())
		out.close()
	})

	It("takes no more connections than allowed", func() {
		server := NewServer(Options{MaxConnections: 1})
		Handle(server, func(context.Context, string, *question) (*reply, error) { return &reply{}, nil })
		address := serve(server)
		_, err := Call[question, reply](context.Background(), newTestClient(ClientOptions{}), address, &question{})
		Expect(err).NotTo(HaveOccurred())
		_, err = Call[question, reply](context.Background(), newTestClient(ClientOptions{}), address, &question{})
		Expect(err).To(HaveOccurred())
	})

	It("that is closed writes the answers that are there, and ends handlers' contexts", func() {
		server := NewServer(Options{})
		entered := make(chan struct{})
		Handle(server, func(ctx context.Context, _ string, _ *question) (*reply, error) {
			close(entered)
			<-ctx.Done()
			return &reply{}, nil
		})
		listener, err := Listen(context.Background(), "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		ctx, cancel := context.WithCancel(context.Background())
		served := make(chan error, 1)
		go func() { served <- server.Serve(ctx, listener) }()
		client := newTestClient(ClientOptions{})
		ended := calling(context.Background(), client, listener.Addr().String())
		Eventually(entered).WithTimeout(soon).Should(BeClosed())
		cancel()
		Eventually(served).WithTimeout(soon).Should(Receive(BeNil()))
		Eventually(ended).WithTimeout(soon).Should(Receive())
		_, err = net.Dial("tcp", listener.Addr().String())
		Expect(err).To(HaveOccurred())
		Expect(server.Serve(context.Background(), listener)).To(Succeed())
	})

	It("that cannot take connections any more says so", func() {
		listener, err := Listen(context.Background(), "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		_ = listener.Close()
		Expect(NewServer(Options{}).Serve(context.Background(), listener)).NotTo(Succeed())
	})

	It("that is short of descriptors goes on after a pause", func() {
		clock := clockwork.NewFakeClock()
		server := NewServer(Options{Clock: clock})
		broken := &shortListener{closed: make(chan struct{}), results: []error{syscall.EMFILE, syscall.ECONNABORTED, os.ErrInvalid}}
		served := make(chan error, 1)
		go func() { served <- server.Serve(context.Background(), broken) }()
		advance(clock, acceptPause)
		advance(clock, acceptPause)
		var end error
		Eventually(served).WithTimeout(soon).Should(Receive(&end))
		Expect(errors.Is(end, os.ErrInvalid)).To(BeTrue())
	})
})

// shortListener fails with one result after the other.
type shortListener struct {
	results []error
	closed  chan struct{}
}

func (l *shortListener) Accept() (net.Conn, error) {
	result := l.results[0]
	l.results = l.results[1:]
	return nil, result
}
func (l *shortListener) Close() error   { return nil }
func (l *shortListener) Addr() net.Addr { return &net.TCPAddr{} }

func connectionOf(c *Client, address string) *connection {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if p := c.peers[address]; p != nil {
		return p.present()
	}
	return nil
}

func isStanding(c *Client, address string) bool {
	current := connectionOf(c, address)
	if current == nil {
		return false
	}
	current.mutex.Lock()
	defer current.mutex.Unlock()
	return current.standing
}

func hasCalls(c *Client, address string) bool {
	current := connectionOf(c, address)
	if current == nil {
		return false
	}
	current.mutex.Lock()
	defer current.mutex.Unlock()
	return len(current.calls) > 0
}

func readsOf(c *Client, address string) uint64 { return connectionOf(c, address).reads() }

// setReadsBefore has the calls that are out count as begun after the greeting.
func setReadsBefore(c *Client, address string) {
	current := connectionOf(c, address)
	count := current.reads()
	current.mutex.Lock()
	defer current.mutex.Unlock()
	for _, waiting := range current.calls {
		waiting.readsBefore = count
	}
}

func queued(c *Client, address string) []byte {
	out := connectionOf(c, address).out
	out.mutex.Lock()
	defer out.mutex.Unlock()
	return out.pending
}
