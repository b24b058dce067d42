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
	RunSpecs(t, "Transport")
}

// soon is how long a test waits for an event that has no reason to be late. It is long so that a busy machine does not fail
// the test.
const soon = 10 * time.Second

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

// nothing is a message without fields. gob alone would refuse to encode it.
type nothing struct{}

// lines is a logger that passes the key-value pairs of each line to the test.
type lines struct{ channel chan []any }

func newLines() lines { return lines{channel: make(chan []any, 100)} }

func (l lines) Log(pairs ...any) error {
	l.channel <- pairs
	return nil
}

var _ log.Logger = lines{}

// serve starts a server on a loopback address and returns the address. The server is closed when the test ends.
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

// pipes provides a Dial function for a client. Each dialed connection is a pipe, and the test gets its server end.
type pipes struct{ ends chan net.Conn }

func newPipes() *pipes { return &pipes{ends: make(chan net.Conn, 10)} }

func (p *pipes) dial(context.Context, string) (net.Conn, error) {
	near, far := net.Pipe()
	p.ends <- far
	return near, nil
}

// end returns the server end of the next dialed connection. It is closed when the test ends.
func (p *pipes) end() net.Conn {
	var far net.Conn
	Eventually(p.ends).WithTimeout(soon).Should(Receive(&far))
	DeferCleanup(func() { _ = far.Close() })
	return far
}

// advance waits until something waits on a fake clock, then advances the clock by span.
func advance(clock *clockwork.FakeClock, span time.Duration) {
	ctx, cancel := context.WithTimeout(context.Background(), soon)
	defer cancel()
	Expect(clock.BlockUntilContext(ctx, 1)).To(Succeed())
	clock.Advance(span)
}

// greeted reads the client's greeting from the server end of a pipe and sends the server's greeting. It returns the decoder
// for the frames that the client sends.
func greeted(far net.Conn) *frameDecoder {
	in := newFrameDecoder(far, DefaultMaxFrameBytes)
	_, err := in.greeting()
	Expect(err).NotTo(HaveOccurred())
	_, err = far.Write(greetingOf(""))
	Expect(err).NotTo(HaveOccurred())
	return in
}
