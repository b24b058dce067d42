package transport

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/jonboulle/clockwork"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestTransport(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "Frames between processes")
}

const soon = 10 * time.Second // for what happens at once, on a busy machine too

type question struct {
	Text   string
	Number int
}

type reply struct {
	Text  string
	Inner inner
}

type inner struct{ Values []int }

type notice struct {
	Text  string
	Inner inner
}

type nothing struct{}

// lines is a logger that records what is logged.
type lines struct{ channel chan []any }

func newLines() lines { return lines{channel: make(chan []any, 100)} }

func (l lines) Log(pairs ...any) error {
	l.channel <- pairs
	return nil
}

var _ log.Logger = lines{}

// serve starts a server on a loopback address and returns the address.
func serve(s *Server) string {
	listener, err := Listen(context.Background(), "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	served := make(chan error, 1)
	go func() { served <- s.Serve(context.Background(), listener) }()
	DeferCleanup(func() {
		s.Close()
		Eventually(served).WithTimeout(soon).Should(Receive(BeNil()))
	})
	return listener.Addr().String()
}

func newTestClient(options ClientOptions) *Client {
	c := NewClient(options)
	DeferCleanup(c.Close)
	return c
}

// pipes lets a client dial into the test, which gets the other end of each connection.
type pipes struct{ ends chan net.Conn }

func newPipes() *pipes { return &pipes{ends: make(chan net.Conn, 10)} }

func (p *pipes) dial(context.Context, string) (net.Conn, error) {
	near, far := net.Pipe()
	p.ends <- far
	return near, nil
}

// end returns the other end of the next connection, closed when the test is over.
func (p *pipes) end() net.Conn {
	var far net.Conn
	Eventually(p.ends).WithTimeout(soon).Should(Receive(&far))
	DeferCleanup(func() { _ = far.Close() })
	return far
}

// advance lets a span pass on a fake clock as soon as something waits for it.
func advance(clock *clockwork.FakeClock, span time.Duration) {
	ctx, cancel := context.WithTimeout(context.Background(), soon)
	defer cancel()
	Expect(clock.BlockUntilContext(ctx, 1)).To(Succeed())
	clock.Advance(span)
}

// greeted writes a server's greeting to a client's other end and reads the client's.
func greeted(far net.Conn) *inbox {
	in := newInbox(far, DefaultMaxFrameBytes)
	_, err := in.greeting()
	Expect(err).NotTo(HaveOccurred())
	_, err = far.Write(greetingOf(""))
	Expect(err).NotTo(HaveOccurred())
	return in
}
