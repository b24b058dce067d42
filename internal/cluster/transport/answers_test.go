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

// lingering is a connection whose reads go on after it was closed, as bytes do that the kernel has handed over before.
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
	kept := &lingering{Conn: conn, closed: make(chan struct{})}
	p.near <- kept
	return kept, nil
}

// asked reads the next request and returns its number.
func asked(in *inbox) uint64 {
	GinkgoHelper()
	h, err := in.next()
	Expect(err).NotTo(HaveOccurred())
	Expect(h.kind).To(Equal(frameRequest))
	Expect(in.skip()).To(Succeed())
	return h.id
}

// answerer is the server's half of a pipe: what it sends comes from an outbox of its own.
type answerer struct {
	far net.Conn
	out *outbox
}

func newAnswerer(far net.Conn) *answerer {
	a := &answerer{far: far}
	a.out = newOutbox(StandardMaxFrameBytes, StandardMaxQueueBytes, time.Second, "", func() {})
	a.out.attach(far)
	return a
}

func (a *answerer) answer(id uint64, text string) {
	_, err := a.out.put(header{kind: frameResponse, id: id}, &reply{Text: text})
	Expect(err).NotTo(HaveOccurred())
}

// meet reads the client's greeting and answers with an outbox's.
func meet(far net.Conn) (*inbox, *answerer) {
	in := newInbox(far, StandardMaxFrameBytes)
	_, err := in.greeting()
	Expect(err).NotTo(HaveOccurred())
	return in, newAnswerer(far)
}

// outcome is the end of a call.
type outcome struct {
	Text string
	Err  error
}

// askAside starts a call and returns where its end comes out.
func askAside(ctx context.Context, client *Client, long bool) <-chan outcome {
	ended := make(chan outcome, 1)
	go func() {
		response := new(reply)
		ask := client.Do
		if long {
			ask = client.DoLong
		}
		err := ask(ctx, "a", &question{Text: "?"}, response)
		if err != nil {
			ended <- outcome{Err: err}
			return
		}
		ended <- outcome{Text: response.Text}
	}()
	return ended
}

var _ = Describe("An answer", func() {
	ctx := context.Background()

	It("reaches the call of its number, whatever the order, and no call twice", func() {
		dialed := newPipes()
		client := newTestClient(ClientOptions{Dial: dialed.dial})
		first := askAside(ctx, client, false)
		in, server := meet(dialed.end())
		one := asked(in)
		second := askAside(ctx, client, false)
		two := asked(in)
		Expect(two).To(BeNumerically(">", one))
		server.answer(two, "second")
		server.answer(two, "second again")
		server.answer(one, "first")
		Eventually(second).WithTimeout(soon).Should(Receive(Equal(outcome{Text: "second"})))
		Eventually(first).WithTimeout(soon).Should(Receive(Equal(outcome{Text: "first"})))
	})

	It("to a call that was given up reaches no later one: numbers are not used again on a connection", func() {
		dialed := newPipes()
		client := newTestClient(ClientOptions{Dial: dialed.dial})
		waiting, giveUp := context.WithCancel(ctx)
		first := askAside(waiting, client, false)
		in, server := meet(dialed.end())
		one := asked(in)
		giveUp()
		Eventually(first).WithTimeout(soon).Should(Receive(HaveField("Err", HaveOccurred())))
		second := askAside(ctx, client, false)
		two := asked(in)
		Expect(two).NotTo(Equal(one))
		server.answer(one, "late")
		server.answer(two, "on time")
		Eventually(second).WithTimeout(soon).Should(Receive(Equal(outcome{Text: "on time"})))
	})

	It("on a connection that was given up reaches no call of the next, whose numbers begin anew", func() {
		clock := clockwork.NewFakeClock()
		dialed := &lingeringPipes{pipes: newPipes(), near: make(chan *lingering, 10)}
		client := newTestClient(ClientOptions{Dial: dialed.dial, Clock: clock})
		bounded, cancel := clockwork.WithTimeout(ctx, clock, time.Second)
		defer cancel()
		first := askAside(bounded, client, true)
		before, oldServer := meet(dialed.end())
		one := asked(before)
		var old *lingering
		Eventually(dialed.near).WithTimeout(soon).Should(Receive(&old))
		Eventually(func() bool { return isStanding(client, "a") }).WithTimeout(soon).Should(BeTrue())
		setReadsBefore(client, "a")
		clock.Advance(time.Second) // nothing was heard: the connection is cut
		Eventually(first).WithTimeout(soon).Should(Receive(HaveField("Err", HaveOccurred())))
		Eventually(old.closed).WithTimeout(soon).Should(BeClosed())

		second := askAside(ctx, client, false)
		in, server := meet(dialed.end())
		two := asked(in)
		Expect(two).To(Equal(one), "as after a restart of the peer")
		oldServer.answer(one, "of the past")
		Consistently(second, 30*time.Millisecond).ShouldNot(Receive())
		server.answer(two, "of the present")
		Eventually(second).WithTimeout(soon).Should(Receive(Equal(outcome{Text: "of the present"})))
	})
})

var _ = Describe("A request", func() {
	ctx := context.Background()

	DescribeTable("is sent once, however its connection ends",
		func(end func(far net.Conn), kind failure.Kind) {
			dialed := newPipes()
			client := newTestClient(ClientOptions{Dial: dialed.dial})
			ended := askAside(ctx, client, false)
			far := dialed.end()
			in, _ := meet(far)
			asked(in)
			Eventually(func() bool { return isStanding(client, "a") }).WithTimeout(soon).Should(BeTrue())
			end(far)
			var got outcome
			Eventually(ended).WithTimeout(soon).Should(Receive(&got))
			Expect(failure.KindOf(got.Err)).To(Equal(kind))
			Consistently(dialed.ends, 30*time.Millisecond).ShouldNot(Receive(), "nothing connects to send it again")

			next := askAside(ctx, client, false)
			again, server := meet(dialed.end())
			server.answer(asked(again), "next")
			Eventually(next).WithTimeout(soon).Should(Receive(Equal(outcome{Text: "next"})))
		},
		Entry("closed", func(far net.Conn) { far.Close() }, failure.UnknownOutcome),
		Entry("closed within a frame", func(far net.Conn) {
			_, err := far.Write([]byte{0, 0, 0, 9, byte(frameResponse)})
			Expect(err).NotTo(HaveOccurred())
			far.Close()
		}, failure.UnknownOutcome),
		Entry("cut for an answer to nobody of this protocol", func(far net.Conn) {
			_, err := io.WriteString(far, "HTTP/1.1 400 Bad Request\r\n\r\n")
			Expect(err).To(Or(BeNil(), MatchError(io.ErrClosedPipe)))
		}, failure.UnknownOutcome),
	)
})
