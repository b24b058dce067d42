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
)

var _ = Describe("A server", func() {
	frame := func(length uint32, content ...byte) []byte {
		return append(binary.BigEndian.AppendUint32(nil, length), content...)
	}
	afterGreeting := func(rest ...byte) []byte { return append(greetingOf("sur-9"), rest...) }

	DescribeTable("closes the connection and logs the client's name or address if the client sends",
		func(sent []byte, name string) {
			logged := newLines()
			server := NewServer(ServerOptions{Logger: logged, MaxFrameBytes: 1000})
			Handle(server, func(context.Context, string, *question) (*reply, error) { return &reply{}, nil })
			address := serve(server)
			conn, err := net.Dial("tcp", address)
			Expect(err).NotTo(HaveOccurred())
			DeferCleanup(conn.Close)
			_, err = conn.Write(sent)
			Expect(err).NotTo(HaveOccurred())
			_, _ = io.Copy(io.Discard, conn) // until it is closed
			if name == "" {
				name = conn.LocalAddr().String()
			}
			Eventually(logged.channel).WithTimeout(soon).Should(Receive(ContainElements("peer", name)))
		},
		Entry("an HTTP request", []byte("GET / HTTP/1.1\r\n\r\n"), ""),
		Entry("a greeting of another version", append([]byte(magic), version+1, 0), ""),
		Entry("a name longer than maxTextBytes", append([]byte(magic), version, 0xff, 0xff, 0xff, 0xff, 0xff, 0x7f), ""),
		Entry("an empty frame", afterGreeting(frame(0)...), "sur-9"),
		Entry("a frame longer than MaxFrameBytes", afterGreeting(frame(1001)...), "sur-9"),
		Entry("a frame of an unknown kind", afterGreeting(frame(1, 200)...), "sur-9"),
		Entry("a response", afterGreeting(frame(3, byte(frameResponse), 1, 0)...), "sur-9"),
		Entry("a pong", afterGreeting(frame(1, byte(framePong))...), "sur-9"),
		Entry("a request whose type was not described", afterGreeting(frame(4, byte(frameRequest), 1, 1, 0)...), "sur-9"),
		Entry("a type number that leaves a gap", afterGreeting(frame(4, byte(frameDefine), 2, 1, 'x')...), "sur-9"),
		Entry("a value that is no gob value", afterGreeting(frame(7, byte(frameDefine), 1, 1, 'x', 3, 0xff, 0xff)...), "sur-9"),
		Entry("a ping with bytes after it", afterGreeting(frame(3, byte(framePing), 1, 0)...), "sur-9"),
	)

	It("closes the connection of a client that never reads responses", func() {
		server := NewServer(ServerOptions{MaxQueueBytes: 1000, WriteTimeout: time.Hour})
		Handle(server, func(context.Context, string, *question) (*reply, error) {
			return &reply{Text: strings.Repeat("x", 1<<20)}, nil
		})
		address := serve(server)
		conn, err := net.Dial("tcp", address)
		Expect(err).NotTo(HaveOccurred())
		out := newSendQueue(DefaultMaxFrameBytes, DefaultMaxQueueBytes, time.Hour, "", func() {})
		Expect(out.attach(conn)).To(BeTrue())
		id := uint64(0)
		Eventually(func() error {
			id++
			_, err := out.enqueue(header{kind: frameRequest, id: id}, &question{})
			return err
		}).WithTimeout(soon).WithPolling(time.Millisecond).Should(HaveOccurred())
		out.close()
	})

	It("closes connections beyond MaxConnections", func() {
		server := NewServer(ServerOptions{MaxConnections: 1})
		Handle(server, func(context.Context, string, *question) (*reply, error) { return &reply{}, nil })
		address := serve(server)
		_, err := Call[question, reply](context.Background(), newTestClient(ClientOptions{}), address, &question{})
		Expect(err).NotTo(HaveOccurred())
		_, err = Call[question, reply](context.Background(), newTestClient(ClientOptions{}), address, &question{})
		Expect(err).To(HaveOccurred())
	})

	It("that is closed ends the contexts of its handlers, returns from Serve and stops listening", func() {
		server := NewServer(ServerOptions{})
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
		ended := startCall(context.Background(), client, listener.Addr().String())
		Eventually(entered).WithTimeout(soon).Should(BeClosed())
		cancel()
		Eventually(served).WithTimeout(soon).Should(Receive(BeNil()))
		Eventually(ended).WithTimeout(soon).Should(Receive())
		_, err = net.Dial("tcp", listener.Addr().String())
		Expect(err).To(HaveOccurred())
		Expect(server.Serve(context.Background(), listener)).To(Succeed())
	})

	It("whose listener was closed by other code returns an error from Serve", func() {
		listener, err := Listen(context.Background(), "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		_ = listener.Close()
		Expect(NewServer(ServerOptions{}).Serve(context.Background(), listener)).NotTo(Succeed())
	})

	It("that lacks file descriptors accepts again after acceptBackoff", func() {
		clock := clockwork.NewFakeClock()
		server := NewServer(ServerOptions{Clock: clock})
		broken := &shortListener{closed: make(chan struct{}), results: []error{syscall.EMFILE, syscall.ECONNABORTED, os.ErrInvalid}}
		served := make(chan error, 1)
		go func() { served <- server.Serve(context.Background(), broken) }()
		advance(clock, acceptBackoff)
		advance(clock, acceptBackoff)
		var end error
		Eventually(served).WithTimeout(soon).Should(Receive(&end))
		Expect(errors.Is(end, os.ErrInvalid)).To(BeTrue())
	})
})

// shortListener is a listener. Each Accept returns the next error of results.
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
