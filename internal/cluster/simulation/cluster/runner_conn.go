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

// runnerConn is an agent's connection to the runner of its machine. It implements net.Conn: each Write is a complete HTTP
// request, and one goroutine reads the responses. Where the simulated network drops messages, such a connection, which is
// TCP, is reset now and then.
type runnerConn struct {
	shell   *shell
	request uint64 // that its effects belong to
	runner  *simulation.InvocationConn

	incoming chan []byte   // responses
	unread   []byte        // received from incoming, by the reader
	reset    chan struct{} // closed when the runner's side is gone
	closed   chan struct{} // closed by Close
	once     sync.Once

	mutex   sync.Mutex    // guards what follows
	expired chan struct{} // closed at the deadline
	timer   *timer        // that closes it
}

// firstConnection is the number of a shell's first connection, which orders its effects after those of all requests.
const firstConnection uint64 = 1 << 40

// dial connects to the runner at an address.
func (s *shell) dial(ctx context.Context, address string) (net.Conn, error) {
	const handshakeDelay = 100 * time.Microsecond
	conn := &runnerConn{shell: s, request: s.nextConnection(), incoming: make(chan []byte, 1),
		reset: make(chan struct{}), closed: make(chan struct{}), expired: make(chan struct{})}
	connected := make(chan error, 1)
	s.enqueue(conn.request, func() {
		s.machine.After(handshakeDelay, func() {
			s.deliver(func() { connected <- conn.connect(s.cluster.runnerAt(address)) })
		})
	})
	select {
	case err := <-connected:
		if err != nil {
			return nil, err
		}
		return conn, nil
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

// connect connects to a runner, which may be nil. The world's goroutine calls it.
func (c *runnerConn) connect(runner *simulation.Runner) error {
	if runner != nil {
		c.runner = runner.Connect(c.delivering(c.resetByPeer))
	}
	if c.runner == nil {
		return syscall.ECONNREFUSED
	}
	return nil
}

// delivering returns a function that delivers an input to the process, if it is still the same incarnation.
func (c *runnerConn) delivering(input func()) func() {
	return c.shell.inIncarnation(func() { c.shell.deliver(input) })
}

// resetByPeer resets the connection from the runner's side.
func (c *runnerConn) resetByPeer() {
	select {
	case <-c.reset:
	default:
		close(c.reset)
	}
}

// Write sends a request, which must be complete in data.
func (c *runnerConn) Write(data []byte) (int, error) {
	select {
	case <-c.reset:
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

// send delivers a call to the runner, and the response back. Where messages are dropped the connection may be reset
// instead; the call is then executed before that, later or never. The world's goroutine calls it.
func (c *runnerConn) send(path string, body []byte) {
	const resetsPerLoss = 0.25 // for each message that is dropped elsewhere
	world := c.shell.cluster.world
	reset := c.delivering(c.resetByPeer)
	isReset := world.Chance(resetsPerLoss * c.shell.cluster.deployment.Network.Loss)
	if isReset && world.Chance(0.5) {
		world.After(simulation.LoopbackDelay, reset)
		if world.Chance(0.5) {
			const maxDelay = time.Second
			world.After(world.Between(0, maxDelay), func() { c.runner.Call(path, body, func(int, []byte) {}) })
		}
		return
	}
	world.After(simulation.LoopbackDelay, func() {
		c.runner.Call(path, body, func(status int, responseBody []byte) {
			arrive := reset
			if !isReset {
				arrive = c.delivering(func() { c.receive(status, responseBody) })
			}
			world.After(simulation.LoopbackDelay, arrive)
		})
	})
}

// receive makes a response available to the reader. It is dropped if the one before has not been read.
func (c *runnerConn) receive(status int, body []byte) {
	var response bytes.Buffer
	response.WriteString("HTTP/1.1 " + strconv.Itoa(status) + " " + http.StatusText(status) + "\r\n")
	response.WriteString("Content-Type: application/json\r\nContent-Length: " + strconv.Itoa(len(body)) + "\r\n\r\n")
	response.Write(body)
	select {
	case c.incoming <- response.Bytes():
	default:
	}
}

// Read reads what the runner has sent. One goroutine may call it at a time.
func (c *runnerConn) Read(data []byte) (int, error) {
	if len(c.unread) == 0 {
		c.mutex.Lock()
		expired := c.expired
		c.mutex.Unlock()
		select {
		case c.unread = <-c.incoming:
		case <-expired:
			return 0, os.ErrDeadlineExceeded
		case <-c.reset:
			return 0, syscall.ECONNRESET
		case <-c.closed:
			return 0, net.ErrClosed
		}
	}
	count := copy(data, c.unread)
	c.unread = c.unread[count:]
	return count, nil
}

// SetDeadline sets the time at which reads end, by the clock of the bubble. That clock stands still, so that the deadline
// is as far off in virtual time as it is by that clock.
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

// expire ends reads now. The caller must hold the mutex.
func (c *runnerConn) expire() {
	select {
	case <-c.expired:
	default:
		close(c.expired)
	}
}

// SetReadDeadline is the same as SetDeadline.
func (c *runnerConn) SetReadDeadline(at time.Time) error { return c.SetDeadline(at) }

// SetWriteDeadline does nothing, because writes don't block.
func (c *runnerConn) SetWriteDeadline(time.Time) error { return nil }

// Close closes the connection.
func (c *runnerConn) Close() error {
	c.once.Do(func() { close(c.closed) })
	return nil
}

// LocalAddr returns nil.
func (c *runnerConn) LocalAddr() net.Addr { return nil }

// RemoteAddr returns nil.
func (c *runnerConn) RemoteAddr() net.Addr { return nil }
