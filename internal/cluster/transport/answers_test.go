package transport

import (
	"context"
	"io"
	"net"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"ospreypond/internal/cluster/failure"
)

// lateReadConn is a connection that can still be read after Close. A real connection can: a read that returned just before
// Close, or bytes that are buffered, are handled after it.
type lateReadConn struct {
	net.Conn
	closed chan struct{}
	once   sync.Once
}

func (l *lateReadConn) Close() error {
	l.once.Do(func() { close(l.closed) })
	return nil
}

// lateReadPipes dials like pipes, and wraps the client end of each pipe in a lateReadConn.
type lateReadPipes struct {
	*pipes
	near chan *lateReadConn
}

func (p *lateReadPipes) dial(ctx context.Context, address string) (net.Conn, error) {
	conn, err := p.pipes.dial(ctx, address)
	if err != nil {
		return nil, err
	}
	near := &lateReadConn{Conn: conn, closed: make(chan struct{})}
	p.near <- near
	return near, nil
}

// nextRequest reads the next frame, which must be a request, and returns the call's id.
func nextRequest(in *frameDecoder) uint64 {
	GinkgoHelper()
	h, err := in.next()
	Expect(err).NotTo(HaveOccurred())
	Expect(h.kind).To(Equal(frameRequest))
	Expect(in.skip()).To(Succeed())
	return h.id
}

// responder sends responses from the server's end of a pipe.
type responder struct {
	far net.Conn
	out *sendQueue
}

func newResponder(far net.Conn) *responder {
	a := &responder{far: far}
	a.out = newSendQueue(DefaultMaxFrameBytes, DefaultMaxQueueBytes, time.Second, "", func() {})
	a.out.attach(far)
	return a
}

func (a *responder) respond(id uint64, text string) {
	_, err := a.out.enqueue(header{kind: frameResponse, id: id}, &reply{Text: text})
	Expect(err).NotTo(HaveOccurred())
}

// greetClient reads the client's greeting and sends the server's. It returns a decoder for the requests and a responder.
func greetClient(far net.Conn) (*frameDecoder, *responder) {
	in := newFrameDecoder(far, DefaultMaxFrameBytes)
	_, err := in.greeting()
	Expect(err).NotTo(HaveOccurred())
	return in, newResponder(far)
}

// outcome is the result of a call: the response's text, or the error.
type outcome struct {
	Text string
	Err  error
}

// startCallForOutcome starts a call in a goroutine and returns the channel that gets its outcome.
func startCallForOutcome(ctx context.Context, client *Client, long bool) <-chan outcome {
	ended := make(chan outcome, 1)
	go func() {
		response := new(reply)
		do := client.Do
		if long {
			do = client.DoLong
		}
		err := do(ctx, "a", &question{Text: "?"}, response)
		if err != nil {
			ended <- outcome{Err: err}
			return
		}
		ended <- outcome{Text: response.Text}
	}()
	return ended
}

var _ = Describe("A response", func() {
	ctx := context.Background()

	It("is returned by the call with its id, in any order, and a second response with that id is ignored", func() {
		dialed := newPipes()
		client := newTestClient(ClientOptions{Dial: dialed.dial})
		first := startCallForOutcome(ctx, client, false)
		in, server := greetClient(dialed.end())
		one := nextRequest(in)
		second := startCallForOutcome(ctx, client, false)
		two := nextRequest(in)
		Expect(two).To(BeNumerically(">", one))
		server.respond(two, "second")
		server.respond(two, "second again")
		server.respond(one, "first")
		Eventually(second).WithTimeout(soon).Should(Receive(Equal(outcome{Text: "second"})))
		Eventually(first).WithTimeout(soon).Should(Receive(Equal(outcome{Text: "first"})))
	})

	It("to a call whose caller gave up is returned by no later call, since ids are not reused on a connection", func() {
		dialed := newPipes()
		client := newTestClient(ClientOptions{Dial: dialed.dial})
		waiting, giveUp := context.WithCancel(ctx)
		first := startCallForOutcome(waiting, client, false)
		in, server := greetClient(dialed.end())
		one := nextRequest(in)
		giveUp()
		Eventually(first).WithTimeout(soon).Should(Receive(HaveField("Err", HaveOccurred())))
		second := startCallForOutcome(ctx, client, false)
		two := nextRequest(in)
		Expect(two).NotTo(Equal(one))
		server.respond(one, "late")
		server.respond(two, "on time")
		Eventually(second).WithTimeout(soon).Should(Receive(Equal(outcome{Text: "on time"})))
	})

	It("on a closed connection is returned by no call on the next connection, whose ids start from the first again", func() {
		clock := clockwork.NewFakeClock()
		dialed := &lateReadPipes{pipes: newPipes(), near: make(chan *lateReadConn, 10)}
		client := newTestClient(ClientOptions{Dial: dialed.dial, Clock: clock})
		bounded, cancel := clockwork.WithTimeout(ctx, clock, time.Second)
		defer cancel()
		first := startCallForOutcome(bounded, client, true)
		before, oldServer := greetClient(dialed.end())
		one := nextRequest(before)
		var old *lateReadConn
		Eventually(dialed.near).WithTimeout(soon).Should(Receive(&old))
		Eventually(func() bool { return isEstablished(client, "a") }).WithTimeout(soon).Should(BeTrue())
		setReadsBefore(client, "a")
		clock.Advance(time.Second) // no bytes arrived since the call started, so the client closes the connection
		Eventually(first).WithTimeout(soon).Should(Receive(HaveField("Err", HaveOccurred())))
		Eventually(old.closed).WithTimeout(soon).Should(BeClosed())

		second := startCallForOutcome(ctx, client, false)
		in, server := greetClient(dialed.end())
		two := nextRequest(in)
		Expect(two).To(Equal(one), "the ids of a new connection start from the first")
		oldServer.respond(one, "on the old connection")
		Consistently(second, 30*time.Millisecond).ShouldNot(Receive())
		server.respond(two, "on the new connection")
		Eventually(second).WithTimeout(soon).Should(Receive(Equal(outcome{Text: "on the new connection"})))
	})
})

var _ = Describe("A request", func() {
	ctx := context.Background()

	DescribeTable("is sent only once, even if its connection ends without a response",
		func(end func(far net.Conn), kind failure.Kind) {
			dialed := newPipes()
			client := newTestClient(ClientOptions{Dial: dialed.dial})
			ended := startCallForOutcome(ctx, client, false)
			far := dialed.end()
			in, _ := greetClient(far)
			nextRequest(in)
			Eventually(func() bool { return isEstablished(client, "a") }).WithTimeout(soon).Should(BeTrue())
			end(far)
			var got outcome
			Eventually(ended).WithTimeout(soon).Should(Receive(&got))
			Expect(failure.KindOf(got.Err)).To(Equal(kind))
			Consistently(dialed.ends, 30*time.Millisecond).ShouldNot(Receive(), "the client does not dial to send the request again")

			next := startCallForOutcome(ctx, client, false)
			reconnected, server := greetClient(dialed.end())
			server.respond(nextRequest(reconnected), "next")
			Eventually(next).WithTimeout(soon).Should(Receive(Equal(outcome{Text: "next"})))
		},
		Entry("the server closes it", func(far net.Conn) { Expect(far.Close()).To(Succeed()) }, failure.UnknownOutcome),
		Entry("the server closes it within a frame", func(far net.Conn) {
			_, err := far.Write([]byte{0, 0, 0, 9, byte(frameResponse)})
			Expect(err).NotTo(HaveOccurred())
			Expect(far.Close()).To(Succeed())
		}, failure.UnknownOutcome),
		Entry("the server sends an HTTP response", func(far net.Conn) {
			_, err := io.WriteString(far, "HTTP/1.1 400 Bad Request\r\n\r\n")
			Expect(err).To(Or(BeNil(), MatchError(io.ErrClosedPipe)))
		}, failure.UnknownOutcome),
	)
})
