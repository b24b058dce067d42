package agent

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"time"

	"github.com/pkg/errors"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// rawRunner is a runner whose responses the test writes byte by byte.
type rawRunner struct {
	listener net.Listener
	accepted chan *rawConnection
}

// rawConnection is the runner's side of a link's connection.
type rawConnection struct {
	net.Conn
	reader *bufio.Reader
}

// newRawRunner returns a runner that listens on the loopback interface.
func newRawRunner() *rawRunner {
	GinkgoHelper()
	listener, err := new(net.ListenConfig).Listen(context.Background(), "tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	r := &rawRunner{listener: listener, accepted: make(chan *rawConnection, 10)}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			r.accepted <- &rawConnection{Conn: conn, reader: bufio.NewReader(conn)}
		}
	}()
	DeferCleanup(func() { _ = listener.Close() })
	return r
}

// link returns a new link to the runner, and the runner's side of its connection.
func (r *rawRunner) link() (*link, *rawConnection) {
	GinkgoHelper()
	l, err := dialLink(context.Background(), nil, r.listener.Addr().String())
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(l.close)
	var far *rawConnection
	Eventually(r.accepted).Should(Receive(&far))
	Expect(far.SetDeadline(time.Now().Add(10 * time.Second))).To(Succeed())
	DeferCleanup(func() { _ = far.Close() })
	return l, far
}

// receive reads a complete request.
func (c *rawConnection) receive() {
	GinkgoHelper()
	request, err := http.ReadRequest(c.reader)
	Expect(err).NotTo(HaveOccurred())
	_, err = io.Copy(io.Discard, request.Body)
	Expect(err).NotTo(HaveOccurred())
}

// send writes text unchanged.
func (c *rawConnection) send(text string) {
	GinkgoHelper()
	_, err := io.WriteString(c.Conn, text)
	Expect(err).NotTo(HaveOccurred())
}

// reset closes the connection by a TCP reset.
func (c *rawConnection) reset() {
	GinkgoHelper()
	Expect(c.Conn.(*net.TCPConn).SetLinger(0)).To(Succeed())
	Expect(c.Close()).To(Succeed())
}

// expectNothing expects the agent to close the connection without another request.
func (c *rawConnection) expectNothing() {
	GinkgoHelper()
	_, err := c.reader.ReadByte()
	Expect(err).To(HaveOccurred(), "the agent has sent another request")
	Expect(errors.Is(err, os.ErrDeadlineExceeded)).To(BeFalse(), "the connection is still open")
}

// answered returns the text of a complete response with that body.
func answered(body string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
}

// posted is the result of a call of link.post.
type posted struct {
	status int
	body   string
	err    error
}

// call makes a call in a goroutine and sends the outcome to the returned channel.
func (l *link) call(ctx context.Context) <-chan posted {
	done := make(chan posted, 1)
	go func() {
		status, body, err := l.post(ctx, pathStop, []byte("{}"), 0)
		done <- posted{status, string(body), err}
	}()
	return done
}

var _ = Describe("A call to a runner", func() {
	ctx := context.Background()

	It("gets its own response when calls follow each other on one connection", func() {
		r := newRawRunner()
		l, far := r.link()
		for _, text := range []string{"one", "two"} {
			done := l.call(ctx)
			far.receive()
			far.send(answered(text))
			Eventually(done).Should(Receive(Equal(posted{200, text, nil})))
		}
		Expect(r.accepted).To(BeEmpty())
	})

	DescribeTable("without a complete response is not repeated, and its late response is not returned for the next call",
		func(respond func(far *rawConnection, giveUp func())) {
			r := newRawRunner()
			l, far := r.link()
			waiting, giveUp := context.WithCancel(ctx)
			defer giveUp()
			done := l.call(waiting)
			far.receive()
			respond(far, giveUp)
			var got posted
			Eventually(done, 5*time.Second).Should(Receive(&got))
			Expect(got.err).To(HaveOccurred())
			_, _ = io.WriteString(far.Conn, answered("late")) // fails if the connection is closed
			next := l.call(ctx)
			Eventually(next, 5*time.Second).Should(Receive(&got))
			Expect(got.err).To(HaveOccurred())
			Expect(got.body).To(BeEmpty())
			far.expectNothing()
			Expect(r.accepted).To(BeEmpty(), "the call is not repeated on another connection")
		},
		Entry("cancelled by its caller", func(_ *rawConnection, giveUp func()) { giveUp() }),
		Entry("timed out", func(*rawConnection, func()) {}),
		Entry("reset", func(far *rawConnection, _ func()) { far.reset() }),
		Entry("closed", func(far *rawConnection, _ func()) { Expect(far.Close()).To(Succeed()) }),
		Entry("truncated in the head of the response", func(far *rawConnection, _ func()) {
			far.send("HTTP/1.1 200 OK\r\nConte")
			Expect(far.Close()).To(Succeed())
		}),
		Entry("truncated in the body of the response", func(far *rawConnection, _ func()) {
			far.send("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n{}")
			Expect(far.Close()).To(Succeed())
		}),
		Entry("answered by something that isn't HTTP", func(far *rawConnection, _ func()) { far.send("hello\r\n\r\n") }),
		Entry("answered with an interim response", func(far *rawConnection, _ func()) {
			far.send("HTTP/1.1 103 Early Hints\r\n\r\n")
		}),
		Entry("answered with more than 4 MiB", func(far *rawConnection, _ func()) {
			_, _ = io.WriteString(far.Conn, answered("{}"+strings.Repeat(" ", maxBodyBytes)))
		}),
	)

	It("fails if the runner has sent a second response to the previous call", func() {
		r := newRawRunner()
		l, far := r.link()
		done := l.call(ctx)
		far.receive()
		far.send(answered("one") + answered("again"))
		Eventually(done).Should(Receive(Equal(posted{200, "one", nil})))
		var got posted
		Eventually(l.call(ctx)).Should(Receive(&got))
		Expect(got.err).To(HaveOccurred())
		Expect(got.body).To(BeEmpty())
	})

	It("fails after a response that announces the end of the connection, and is made on no other connection", func() {
		r := newRawRunner()
		l, far := r.link()
		done := l.call(ctx)
		far.receive()
		far.send("HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 3\r\n\r\none")
		Eventually(done).Should(Receive(Equal(posted{200, "one", nil})))
		var got posted
		Eventually(l.call(ctx)).Should(Receive(&got))
		Expect(got.err).To(HaveOccurred())
		far.expectNothing()
		Expect(r.accepted).To(BeEmpty())
	})

	It("does not reach a later process at the runner's address", func() {
		r := newRawRunner()
		l, far := r.link()
		address := r.listener.Addr().String()
		far.reset()
		Expect(r.listener.Close()).To(Succeed())
		listener, err := new(net.ListenConfig).Listen(ctx, "tcp", address)
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(listener.Close)
		reached := make(chan struct{})
		go func() {
			if conn, err := listener.Accept(); err == nil {
				_ = conn.Close()
				close(reached)
			}
		}()
		var got posted
		Eventually(l.call(ctx)).Should(Receive(&got))
		Expect(got.err).To(HaveOccurred())
		Consistently(reached, 30*time.Millisecond).ShouldNot(BeClosed())
	})
})
