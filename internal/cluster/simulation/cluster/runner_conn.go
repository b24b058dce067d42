package cluster

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"sync"
	"syscall"
	"time"

	"ospreypond/internal/cluster/simulation"
)

// runnerConn is an agent's connection to the runner of its machine, as net.Conn. Each Write is a whole request.
type runnerConn struct {
	shell   *shell
	request uint64 // that its effects belong to
	runner  *simulation.InvocationConn

	incoming   chan []byte   // what the runner has sent
	unread     []byte        // taken from incoming, by the one reader
	peerClosed chan struct{} // closed when the runner ends
	closed     chan struct{}
	once       sync.Once

	mutex   sync.Mutex
	expired chan struct{} // closed at the deadline
	timer   *timer        // that does it
}

// firstConnection is the number of a shell's first connection, beyond those of all requests.
const firstConnection uint64 = 1 << 40

// dial connects to the runner at an address.
func (s *shell) dial(ctx context.Context, address string) (net.Conn, error) {
	const refusal = 100 * time.Microsecond
	connection := &runnerConn{shell: s, request: s.nextConnection(), incoming: make(chan []byte, 1), peerClosed: make(chan struct{}),
		closed: make(chan struct{}), expired: make(chan struct{})}
	connected := make(chan error, 1)
	s.enqueue(connection.request, func() {
		s.machine.After(refusal, func() {
			s.step(func() { connected <- connection.connect(s.cluster.runnerAt(address)) })
		})
	})
	select {
	case err := <-connected:
		if err != nil {
			return nil, err
		}
		return connection, nil
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

func (s *shell) nextConnection() uint64 {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.connections++
	return firstConnection + s.connections
}

// runnerAt returns the runner that has an address.
func (c *Cluster) runnerAt(address string) *simulation.Runner {
	for _, runners := range [][]*simulation.Runner{c.deployment.Runners, c.deployment.Spares} {
		for _, runner := range runners {
			if runner.Address == address {
				return runner
			}
		}
	}
	return nil
}

// connect is called by the world's goroutine.
func (c *runnerConn) connect(runner *simulation.Runner) error {
	if runner != nil {
		s := c.shell
		c.runner = runner.Connect(s.inIncarnation(func() { s.step(c.resetByPeer) }))
	}
	if c.runner == nil {
		return syscall.ECONNREFUSED
	}
	return nil
}

// resetByPeer ends the connection from the runner's side.
func (c *runnerConn) resetByPeer() {
	select {
	case <-c.peerClosed:
	default:
		close(c.peerClosed)
	}
}

// inIncarnation returns a function that calls f in the present life of the process, or never.
func (s *shell) inIncarnation(f func()) func() {
	return func() {
		if s.cluster.shells[s.machine] == s {
			s.machine.After(0, f)
		}
	}
}

// Write sends a request.
func (c *runnerConn) Write(data []byte) (int, error) {
	select {
	case <-c.peerClosed:
		return 0, syscall.ECONNRESET
	case <-c.closed:
		return 0, net.ErrClosed
	default:
	}
	request, err := http.ReadRequest(bufio.NewReader(bytes.NewReader(data)))
	if err != nil {
		return 0, err
	}
	body, err := io.ReadAll(request.Body)
	if err != nil {
		return 0, err
	}
	path := request.URL.Path
	c.shell.enqueue(c.request, func() { c.send(path, body) })
	return len(data), nil
}

// send carries a call over and its answer back. Where messages vanish, connections break: a call is then carried out
// before that, later or never. It is called by the world's goroutine.
func (c *runnerConn) send(path string, body []byte) {
	const breaks = 0.25 // for each message that vanishes elsewhere
	s := c.shell
	world := s.cluster.world
	breakOff := s.inIncarnation(func() { s.step(c.resetByPeer) })
	broken := world.Chance(breaks * s.cluster.deployment.Network.Loss)
	if broken && world.Chance(0.5) {
		world.After(simulation.LoopbackDelay, breakOff)
		if world.Chance(0.5) {
			world.After(world.Between(0, time.Second), func() { c.runner.Call(path, body, func(int, []byte) {}) })
		}
		return
	}
	world.After(simulation.LoopbackDelay, func() {
		c.runner.Call(path, body, func(status int, answer []byte) {
			arrive := s.inIncarnation(func() { s.step(func() { c.deliver(status, answer) }) })
			if broken {
				arrive = breakOff
			}
			world.After(simulation.LoopbackDelay, arrive)
		})
	})
}

// deliver brings an answer, unless the connection was reset or given up.
func (c *runnerConn) deliver(status int, answer []byte) {
	var response bytes.Buffer
	response.WriteString("HTTP/1.1 " + strconv.Itoa(status) + " " + http.StatusText(status) + "\r\n")
	response.WriteString("Content-Type: application/json\r\nContent-Length: " + strconv.Itoa(len(answer)) + "\r\n\r\n")
	response.Write(answer)
	select {
	case c.incoming <- response.Bytes():
	default:
	}
}

// Read reads what the runner has sent.
func (c *runnerConn) Read(data []byte) (int, error) {
	if len(c.unread) == 0 {
		c.mutex.Lock()
		expired := c.expired
		c.mutex.Unlock()
		select {
		case c.unread = <-c.incoming:
		case <-expired:
			return 0, os.ErrDeadlineExceeded
		case <-c.peerClosed:
			return 0, syscall.ECONNRESET
		case <-c.closed:
			return 0, net.ErrClosed
		}
	}
	count := copy(data, c.unread)
	c.unread = c.unread[count:]
	return count, nil
}

// SetDeadline ends reads at a time of the bubble's clock, which stands still: what counts is how far off it is.
func (c *runnerConn) SetDeadline(at time.Time) error {
	left := time.Until(at)
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.timer != nil {
		c.timer.Stop()
	}
	if left <= 0 {
		c.expire()
		return nil
	}
	c.expired = make(chan struct{})
	expired := c.expired
	c.timer = shellClock{c.shell, c.request}.newTimer(func() { close(expired) })
	c.timer.Reset(left)
	return nil
}

// expire ends reads now. The mutex is held.
func (c *runnerConn) expire() {
	select {
	case <-c.expired:
	default:
		close(c.expired)
	}
}

// SetReadDeadline is SetDeadline.
func (c *runnerConn) SetReadDeadline(at time.Time) error { return c.SetDeadline(at) }

// SetWriteDeadline does nothing: writes don't wait.
func (c *runnerConn) SetWriteDeadline(time.Time) error { return nil }

// Close closes the connection.
func (c *runnerConn) Close() error {
	c.once.Do(func() { close(c.closed) })
	return nil
}

// LocalAddr returns no address.
func (c *runnerConn) LocalAddr() net.Addr { return nil }

// RemoteAddr returns no address.
func (c *runnerConn) RemoteAddr() net.Addr { return nil }
