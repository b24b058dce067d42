package frontend

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"time"

	"github.com/go-kit/log"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"ospreypond/internal/cluster/failure"
	"ospreypond/internal/cluster/failure/answers"
	"ospreypond/internal/cluster/protocol"
	"ospreypond/internal/cluster/uplink"
)

// serverFixture is a fixture with a Server on the loopback interface.
type serverFixture struct {
	*fixture
	server    *Server
	clients   string             // address for clients
	readiness string             // address for readiness probes
	stop      context.CancelFunc // begins the shutdown
	ended     chan error         // gets the result of Server.Run
}

// newServerFixture returns a serverFixture with a running server.
func newServerFixture() *serverFixture {
	return newServerFixtureBehind(func(clients net.Listener) net.Listener { return clients })
}

// newServerFixtureBehind returns a serverFixture with a running server. wrap gets the clients' listener, and the server
// accepts clients from the listener that wrap returns.
func newServerFixtureBehind(wrap func(clients net.Listener) net.Listener) *serverFixture {
	GinkgoHelper()
	s := &serverFixture{fixture: newFixture(), ended: make(chan error, 1)}
	s.server = NewServer(s.service, 6*time.Second, log.NewNopLogger())
	ctx, stop := context.WithCancel(context.Background())
	s.stop = stop
	loopback := uplink.Endpoint{Address: "127.0.0.1:0"}
	listeners, err := uplink.Listen(ctx, loopback, loopback)
	Expect(err).NotTo(HaveOccurred())
	clients, readiness := listeners[0], listeners[1]
	s.clients, s.readiness = clients.Addr().String(), readiness.Addr().String()
	go func() { s.ended <- s.server.Run(ctx, wrap(clients), readiness) }()
	DeferCleanup(stop)
	return s
}

// connection is a client's persistent connection.
type connection struct {
	net.Conn
	reader *bufio.Reader
}

// connect opens a connection to the server.
func (s *serverFixture) connect() *connection {
	GinkgoHelper()
	conn, err := new(net.Dialer).DialContext(context.Background(), "tcp", s.clients)
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(conn.Close)
	Expect(conn.SetDeadline(time.Now().Add(20 * time.Second))).To(Succeed())
	return &connection{Conn: conn, reader: bufio.NewReader(conn)}
}

// send writes a complete request.
func (c *connection) send(method, path, body string) {
	GinkgoHelper()
	r := request(method, path, body)
	Expect(r.Write(c.Conn)).To(Succeed())
}

// receive reads a response and returns its status, and whether it announces the end of the connection.
func (c *connection) receive() (status int, last bool) {
	GinkgoHelper()
	response, err := http.ReadResponse(c.reader, nil)
	Expect(err).NotTo(HaveOccurred())
	_, err = io.Copy(io.Discard, response.Body)
	Expect(err).NotTo(HaveOccurred())
	Expect(response.Body.Close()).To(Succeed())
	return response.StatusCode, response.Close
}

// ready returns the status of a readiness probe.
func (s *serverFixture) ready() int { return s.probe(readinessPath) }

// probe returns the status of a GET request for path at the address for readiness probes.
func (s *serverFixture) probe(path string) int {
	GinkgoHelper()
	r, err := http.NewRequestWithContext(context.Background(), http.MethodGet, "http://"+s.readiness+path, nil)
	Expect(err).NotTo(HaveOccurred())
	response, err := http.DefaultClient.Do(r)
	Expect(err).NotTo(HaveOccurred())
	Expect(response.Body.Close()).To(Succeed())
	return response.StatusCode
}

var _ = Describe("readiness", func() {
	It("requires a configuration that was confirmed at most maxAgeNormal ago", func() {
		s := newServerFixture()
		Expect(s.ready()).To(Equal(200))
		s.directory.setAge(maxWatchWait(0) + normalAgeMargin + time.Millisecond)
		Expect(s.ready()).To(Equal(503))

		b := newFixture()
		b.service.Views = NewViews()
		Expect(NewServer(b.service, 0, log.NewNopLogger()).Ready()).To(BeFalse())
	})

	It("is the only path that its address serves", func() {
		s := newServerFixture()
		Expect(s.probe("/a/")).To(Equal(404))
	})
})

var _ = Describe("a shutdown of the frontend", func() {
	It("serves clients for readinessDelay, and then waits for the requests that are being answered", func() {
		s := newServerFixture()
		release := make(chan struct{})
		s.owners.submit = func(context.Context, *protocol.SubmitRequest) error {
			<-release
			return nil
		}
		idle, busy := s.connect(), s.connect()
		idle.send("GET", "/a/", "")
		status, last := idle.receive()
		Expect(status).To(Equal(200))
		Expect(last).To(BeFalse())
		busy.send("POST", "/a/"+jobID, oneStep)
		Eventually(s.owners.calls).Should(ContainElement("submit 1"))

		s.stop()
		Eventually(s.server.stopping.Load).Should(BeTrue()) // its timers are on the fake clock
		Expect(s.ready()).To(Equal(503))
		idle.send("GET", "/a/", "")
		status, last = idle.receive()
		Expect(status).To(Equal(200))
		Expect(last).To(BeTrue())
		late := s.connect()
		late.send("GET", "/a/", "")
		status, last = late.receive()
		Expect(status).To(Equal(200))
		Expect(last).To(BeTrue())

		s.clock.Advance(readinessDelay)
		Eventually(func() error {
			conn, err := new(net.Dialer).DialContext(context.Background(), "tcp", s.clients)
			if err == nil {
				_ = conn.Close() // the connection only shows that the listener is still open
			}
			return err
		}).Should(HaveOccurred())
		Consistently(s.ended, 30*time.Millisecond).ShouldNot(Receive())
		close(release)
		status, last = busy.receive()
		Expect(status).To(Equal(200))
		Expect(last).To(BeTrue())
		Eventually(s.ended, 5*time.Second).Should(Receive(BeNil()))
	})

	It("ends killMargin before SIGKILL, also if a request doesn't end", func() {
		s := newServerFixture()
		release := make(chan struct{})
		defer close(release)
		s.owners.submit = func(context.Context, *protocol.SubmitRequest) error {
			<-release
			return nil
		}
		busy := s.connect()
		busy.send("POST", "/a/"+jobID, oneStep)
		Eventually(s.owners.calls).Should(ContainElement("submit 1"))
		s.stop()
		Eventually(s.server.stopping.Load).Should(BeTrue())
		s.clock.Advance(readinessDelay)
		Consistently(s.ended, 30*time.Millisecond).ShouldNot(Receive())
		s.clock.Advance(6*time.Second - killMargin - readinessDelay)
		Eventually(s.ended, 5*time.Second).Should(Receive(HaveOccurred()))
	})
})

var _ = Describe("the limits of connections", func() {
	big := "GET /a/ HTTP/1.1\r\nHost: ficu95.example\r\nX-Big: " + strings.Repeat("x", 20<<10) + "\r\n\r\n"

	It("are those of the current configuration for new connections, and stay for open ones", func() {
		s := newServerFixture()
		before := s.connect()
		before.send("GET", "/a/", "")
		status, _ := before.receive()
		Expect(status).To(Equal(200))

		next := view(8, map[string]*Route{"/a/": route("/a/", 1)})
		next.Limits.MaxHeaderBytes = 1 << 10
		Expect(s.views.Set(next)).To(BeTrue())
		Eventually(func() int {
			after := s.connect()
			_, err := after.Write([]byte(big))
			Expect(err).NotTo(HaveOccurred())
			status, _ := after.receive()
			return status
		}).Should(Equal(http.StatusRequestHeaderFieldsTooLarge))

		before.send("GET", "/a/", "") // an open connection still works
		status, _ = before.receive()
		Expect(status).To(Equal(200))
	})

	It("close a connection whose body is too large", func() {
		s := newServerFixture()
		client := s.connect()
		client.send("POST", "/a/"+jobID, `{"spec":"`+strings.Repeat("x", 2000)+`"}`)
		status, last := client.receive()
		Expect(status).To(Equal(answers.ForKind(failure.TooLarge).Status))
		Expect(last).To(BeTrue())
	})
})
