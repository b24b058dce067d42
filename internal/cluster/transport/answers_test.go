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

// lingering is a connection whose reads go on after it was closed, as for bytes that the kernel has received before.
type lingering struct {
	net.Conn
	closed chan struct{}
	once   sync.Once
}

func (l *lingering) Close() error {
	l.once.Do(func() { close(l.closed) })
	return nil
}

// lingeringPipes is pipes whose near ends linger.
type lingeringPipes struct {
	*pipes
	near chan *lingering
}

func (p *lingeringPipes) dial(ctx context.Context, address string) (net.Conn, error) {
	conn, err := p.pipes.dial(ctx, address)
	if err != nil {
		return nil, err
	}
	near := &lingering{Conn: conn, closed: make(chan struct{})}
	p.near <- near
	return near, nil
}

// nextRequest reads the next request and returns its id.
func nextRequest(in *inbox) uint64 {
	GinkgoHelper()
	h, err := in.next()
	Expect(err).NotTo(HaveOccurred())
	Expect(h.kind).To(Equal(frameRequest))
	Expect(in.skip()).To(Succeed())
	return h.id
}

// responder is the server's end of a pipe, with an outbox of its own.
type responder struct {
	far net.Conn
	out *outbox
}

func newResponder(far net.Conn) *responder {
	a := &responder{far: far}
	a.out = newOutbox(DefaultMaxFrameBytes, DefaultMaxQueueBytes, time.Second, "", func() {})
	a.out.attach(far)
	return a
}

func (a *responder) respond(id uint64, text string) {
	_, err := a.out.put(header{kind: frameResponse, id: id}, &reply{Text: text})
	Expect(err).NotTo(HaveOccurred())
}

// greetClient reads the client's greeting and sends the server's.
func greetClient(far net.Conn) (*inbox, *responder) {
	in := newInbox(far, DefaultMaxFrameBytes)
	_, err := in.greeting()
	Expect(err).NotTo(HaveOccurred())
	return in, newResponder(far)
}

// outcome is the end of a call.
type outcome struct {
	Text string
	Err  error
}

// startCallAside starts a call and returns where its outcome will be.
func startCallAside(ctx context.Context, client *Client, long bool) <-chan outcome {
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

	It("reaches the call of its id, in any order, and no call twice", func() {
		dialed := newPipes()
		client := newTestClient(ClientOptions{Dial: dialed.dial})
		first := startCallAside(ctx, client, false)
		in, server := greetClient(dialed.end())
		one := nextRequest(in)
		second := startCallAside(ctx, client, false)
		two := nextRequest(in)
		Expect(two).To(BeNumerically(">", one))
		server.respond(two, "second")
		server.respond(two, "second again")
		server.respond(one, "first")
		Eventually(second).WithTimeout(soon).Should(Receive(Equal(outcome{Text: "second"})))
		Eventually(first).WithTimeout(soon).Should(Receive(Equal(outcome{Text: "first"})))
	})

	It("to an abandoned call reaches no later one: ids are not reused on a connection", func() {
		dialed := newPipes()
		client := newTestClient(ClientOptions{Dial: dialed.dial})
		waiting, giveUp := context.WithCancel(ctx)
		first := startCallAside(waiting, client, false)
		in, server := greetClient(dialed.end())
		one := nextRequest(in)
		giveUp()
		Eventually(first).WithTimeout(soon).Should(Receive(HaveField("Err", HaveOccurred())))
		second := startCallAside(ctx, client, false)
		two := nextRequest(in)
		Expect(two).NotTo(Equal(one))
		server.respond(one, "late")
		server.respond(two, "on time")
		Eventually(second).WithTimeout(soon).Should(Receive(Equal(outcome{Text: "on time"})))
	})

	It("on an abandoned connection reaches no call of the next one, whose ids begin anew", func() {
		clock := clockwork.NewFakeClock()
		dialed := &lingeringPipes{pipes: newPipes(), near: make(chan *lingering, 10)}
		client := newTestClient(ClientOptions{Dial: dialed.dial, Clock: clock})
		bounded, cancel := clockwork.WithTimeout(ctx, clock, time.Second)
		defer cancel()
		first := startCallAside(bounded, client, true)
		before, oldServer := greetClient(dialed.end())
		one := nextRequest(before)
		var old *lingering
		Eventually(dialed.near).WithTimeout(soon).Should(Receive(&old))
		Eventually(func() bool { return isEstablished(client, "a") }).WithTimeout(soon).Should(BeTrue())
		setReadsBefore(client, "a")
		clock.Advance(time.Second) // nothing was heard: the connection is cut
		Eventually(first).WithTimeout(soon).Should(Receive(HaveField("Err", HaveOccurred())))
		Eventually(old.closed).WithTimeout(soon).Should(BeClosed())

		second := startCallAside(ctx, client, false)
		in, server := greetClient(dialed.end())
		two := nextRequest(in)
		Expect(two).To(Equal(one), "as after a restart of the peer")
		oldServer.respond(one, "of the past")
		Consistently(second, 30*time.Millisecond).ShouldNot(Receive())
		server.respond(two, "of the present")
		Eventually(second).WithTimeout(soon).Should(Receive(Equal(outcome{Text: "of the present"})))
	})
})

var _ = Describe("A request", func() {
	ctx := context.Background()

	DescribeTable("is sent once, however its connection ends",
		func(end func(far net.Conn), kind failure.Kind) {
			dialed := newPipes()
			client := newTestClient(ClientOptions{Dial: dialed.dial})
			ended := startCallAside(ctx, client, false)
			far := dialed.end()
			in, _ := greetClient(far)
			nextRequest(in)
			Eventually(func() bool { return isEstablished(client, "a") }).WithTimeout(soon).Should(BeTrue())
			end(far)
			var got outcome
			Eventually(ended).WithTimeout(soon).Should(Receive(&got))
			Expect(failure.KindOf(got.Err)).To(Equal(kind))
			Consistently(dialed.ends, 30*time.Millisecond).ShouldNot(Receive(), "nothing connects to send it again")

			next := startCallAside(ctx, client, false)
			reconnected, server := greetClient(dialed.end())
			server.respond(nextRequest(reconnected), "next")
			Eventually(next).WithTimeout(soon).Should(Receive(Equal(outcome{Text: "next"})))
		},
		Entry("closed", func(far net.Conn) { Expect(far.Close()).To(Succeed()) }, failure.UnknownOutcome),
		Entry("closed within a frame", func(far net.Conn) {
			_, err := far.Write([]byte{0, 0, 0, 9, byte(frameResponse)})
			Expect(err).NotTo(HaveOccurred())
			Expect(far.Close()).To(Succeed())
		}, failure.UnknownOutcome),
		Entry("closed after a response of another protocol", func(far net.Conn) {
			_, err := io.WriteString(far, "HTTP/1.1 400 Bad Request\r\n\r\n")
			Expect(err).To(Or(BeNil(), MatchError(io.ErrClosedPipe)))
		}, failure.UnknownOutcome),
	)
})
