package frontend

import (
	"context"
	"net"
	"strconv"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"ospreypond/internal/cluster/failure"
	"ospreypond/internal/cluster/failure/answers"
	"ospreypond/internal/cluster/protocol"
)

// blockingListener accepts connections. A test can block a read of such a connection after the bytes have arrived.
type blockingListener struct {
	net.Listener
	holding atomic.Bool   // reads are blocked
	blocked chan struct{} // has an element for each blocked read
	release chan struct{} // blocked reads return when it is closed
}

// Accept returns the next connection, as a blockingConnection.
func (l *blockingListener) Accept() (net.Conn, error) {
	accepted, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &blockingConnection{Conn: accepted, listener: l}, nil
}

// blockingConnection is a connection of a blockingListener.
type blockingConnection struct {
	net.Conn
	listener *blockingListener
}

// Read simulates a thread that has got its bytes from the kernel and then gets no processor time until release is closed.
func (c *blockingConnection) Read(buffer []byte) (int, error) {
	count, err := c.Conn.Read(buffer)
	if count > 0 && c.listener.holding.Load() {
		c.listener.blocked <- struct{}{}
		<-c.listener.release
	}
	return count, err
}

// newBlockingFixture returns a serverFixture whose server accepts clients from a blockingListener.
func newBlockingFixture() (*serverFixture, *blockingListener) {
	listener := &blockingListener{blocked: make(chan struct{}, 10), release: make(chan struct{})}
	s := newServerFixtureBehind(func(clients net.Listener) net.Listener {
		listener.Listener = clients
		return listener
	})
	return s, listener
}

// stopAccepting begins a shutdown of the server and advances the fake clock until the server ends its connections.
func (s *serverFixture) stopAccepting() {
	GinkgoHelper()
	s.stop()
	Eventually(s.server.stopping.Load).Should(BeTrue()) // its timers are on the fake clock
	s.clock.Advance(readinessDelay)
	Eventually(s.server.acceptor.isEnding).Should(BeTrue())
}

var _ = Describe("a request during a shutdown", func() {
	const head = "GET /a/ HTTP/1.1\r\nHost: ficu95"
	const rest = ".example\r\n\r\n"

	DescribeTable("is answered if the server was still reading it when connections ended",
		func(before int, first, second string) {
			s, listener := newBlockingFixture()
			client := s.connect()
			for range before {
				client.send("GET", "/a/", "")
				status, last := client.receive()
				Expect(status).To(Equal(200))
				Expect(last).To(BeFalse())
			}
			listener.holding.Store(true)
			_, err := client.Write([]byte(first))
			Expect(err).NotTo(HaveOccurred())
			Eventually(listener.blocked).Should(Receive())
			s.stopAccepting()
			s.clock.Advance(firstRequestTimeout)
			Consistently(s.ended, 30*time.Millisecond).ShouldNot(Receive())
			listener.holding.Store(false)
			close(listener.release)
			_, err = client.Write([]byte(second))
			Expect(err).NotTo(HaveOccurred())
			status, last := client.receive()
			Expect(status).To(Equal(200))
			Expect(last).To(BeTrue())
			Eventually(s.ended).Should(Receive(BeNil()))
		},
		Entry("a complete request on a new connection", 0, head+rest, ""),
		Entry("a part of a request on a new connection", 0, head, rest),
		Entry("a complete request on a connection that has had one", 1, head+rest, ""),
		Entry("a part of a request on a connection that has had one", 1, head, rest),
	)

	DescribeTable("is answered if it began before connections ended and its last bytes arrive after that",
		func(before int) {
			s := newServerFixture()
			client := s.connect()
			for range before {
				client.send("GET", "/a/", "")
				client.receive()
			}
			_, err := client.Write([]byte(head))
			Expect(err).NotTo(HaveOccurred())
			Eventually(s.server.acceptor.busy).Should(Equal(1))
			s.stopAccepting()
			_, err = client.Write([]byte(rest))
			Expect(err).NotTo(HaveOccurred())
			status, last := client.receive()
			Expect(status).To(Equal(200))
			Expect(last).To(BeTrue())
			Eventually(s.ended).Should(Receive(BeNil()))
		},
		Entry("on a new connection", 0),
		Entry("on a connection that has had requests", 2),
	)

	It("is answered if its first byte arrived before the response to the previous request", func() {
		s := newServerFixture()
		release := make(chan struct{})
		s.owners.submit = func(context.Context, *protocol.SubmitRequest) error {
			<-release
			return nil
		}
		client := s.connect()
		client.send("POST", "/a/"+jobID, oneStep)
		Eventually(s.owners.calls).Should(ContainElement("submit 1"))
		_, err := client.Write([]byte(head[:1]))
		Expect(err).NotTo(HaveOccurred())
		Eventually(s.server.acceptor.early).Should(Equal(1))
		close(release)
		status, last := client.receive()
		Expect(status).To(Equal(200))
		Expect(last).To(BeFalse())
		s.stopAccepting()
		_, err = client.Write([]byte(head[1:] + rest))
		Expect(err).NotTo(HaveOccurred())
		status, last = client.receive()
		Expect(status).To(Equal(200))
		Expect(last).To(BeTrue())
		Eventually(s.ended).Should(Receive(BeNil()))
	})

	It("is answered before the process ends, also if it is complete only shortly before that and no owner responds", func() {
		s := newServerFixture()
		s.owners.submit = func(ctx context.Context, _ *protocol.SubmitRequest) error {
			<-ctx.Done()
			return failure.New(failure.UnknownOutcome, "no response")
		}
		client := s.connect()
		body := oneStep
		complete := "POST /a/" + jobID + " HTTP/1.1\r\nHost: ficu95.example\r\nContent-Length: "
		complete += strconv.Itoa(len(body)) + "\r\n\r\n" + body
		_, err := client.Write([]byte(complete[:len(head)]))
		Expect(err).NotTo(HaveOccurred())
		Eventually(s.server.acceptor.busy).Should(Equal(1))
		s.stopAccepting()
		end := 6*time.Second - killMargin
		s.clock.Advance(end - responseMargin - readinessDelay - 200*time.Millisecond)
		_, err = client.Write([]byte(complete[len(head):]))
		Expect(err).NotTo(HaveOccurred())
		Eventually(s.owners.calls).Should(ContainElement("submit 1"))
		Consistently(s.ended, 30*time.Millisecond).ShouldNot(Receive())
		s.clock.Advance(200 * time.Millisecond)
		status, last := client.receive()
		Expect(status).To(Equal(answers.ForKind(failure.UnknownOutcome).Status))
		Expect(last).To(BeTrue())
		Eventually(s.ended).Should(Receive(BeNil()))
	})

	It("is awaited on a connection without requests for firstRequestTimeout only", func() {
		s := newServerFixture()
		client := s.connect()
		Eventually(s.server.acceptor.count).Should(Equal(1))
		s.stopAccepting()
		Consistently(s.ended, 30*time.Millisecond).ShouldNot(Receive())
		s.clock.Advance(firstRequestTimeout)
		Eventually(s.ended).Should(Receive(BeNil()))
		_, err := client.reader.ReadByte()
		Expect(err).To(HaveOccurred())
	})

	It("is not read on a connection that has ended", func() {
		s := newServerFixture()
		client := s.connect()
		client.send("GET", "/a/", "")
		client.receive()
		s.stopAccepting()
		Eventually(s.ended).Should(Receive(BeNil()))
		_, err := client.reader.ReadByte()
		Expect(err).To(HaveOccurred())
		Expect(s.owners.calls()).To(Equal([]string{"pending 1"}))
	})
})

var _ = Describe("the limits of a new configuration", func() {
	It("abort no request that is being read or answered", func() {
		s := newServerFixture()
		release := make(chan struct{})
		s.owners.submit = func(context.Context, *protocol.SubmitRequest) error {
			<-release
			return nil
		}
		answering, reading := s.connect(), s.connect()
		answering.send("POST", "/a/"+jobID, oneStep)
		Eventually(s.owners.calls).Should(ContainElement("submit 1"))
		_, err := reading.Write([]byte("GET /a/ HTTP/1.1\r\n"))
		Expect(err).NotTo(HaveOccurred())
		Eventually(s.server.acceptor.busy).Should(Equal(2))

		next := view(8, map[string]*Route{"/a/": route("/a/", 1)})
		next.Limits.MaxHeaderBytes = 1 << 10
		Expect(s.views.Set(next)).To(BeTrue())
		Eventually(s.server.currentLimits).Should(HaveField("MaxHeaderBytes", 1<<10))
		close(release)
		status, last := answering.receive()
		Expect(status).To(Equal(200))
		Expect(last).To(BeFalse())
		_, err = reading.Write([]byte("Host: ficu95.example\r\n\r\n"))
		Expect(err).NotTo(HaveOccurred())
		status, last = reading.receive()
		Expect(status).To(Equal(200))
		Expect(last).To(BeFalse())
	})
})

// busy returns the number of connections on which a request is being read or answered.
func (a *acceptor) busy() int {
	return a.countWhere(func(c *clientConnection) bool { return c.busy })
}

// early returns the number of connections on which the first byte of the next request has arrived before the response to the
// present one.
func (a *acceptor) early() int {
	return a.countWhere(func(c *clientConnection) bool { return c.hasEarlyByte })
}

// countWhere returns the number of connections that match.
func (a *acceptor) countWhere(matches func(c *clientConnection) bool) int {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	count := 0
	for connection := range a.open {
		connection.mutex.Lock()
		if matches(connection) {
			count++
		}
		connection.mutex.Unlock()
	}
	return count
}

// count returns the number of open connections.
func (a *acceptor) count() int {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	return len(a.open)
}

// currentLimits returns the limits of the server that gets new connections.
func (s *Server) currentLimits() Limits {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.limits
}
