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

// runnerConn models an agent's TCP connection to the runner on its machine. It implements net.Conn for an HTTP client that
// passes a complete request to each Write and reads the responses in one goroutine at a time. TCP does not lose single
// messages; so if the simulated network has a message loss, the connection is reset at random instead.
type runnerConn struct {
	harness *harness
	request uint64                     // request number of its effects, see firstConnection
	runner  *simulation.InvocationConn // set by connect

	incoming chan []byte   // complete responses, at most one unread
	unread   []byte        // rest of the response that Read is returning; used only by the reader
	reset    chan struct{} // closed when the connection is reset
	closed   chan struct{} // closed by Close
	once     sync.Once     // closes closed

	mutex   sync.Mutex    // guards the fields below
	expired chan struct{} // closed once the deadline has passed
	timer   *timer        // closes expired at the deadline; nil if no deadline was set
}

// firstConnection is the lower bound of the request numbers of connections. It exceeds the number of every request
// that a run serves, so that harness.deliver performs the effects of connections after those of requests.
const firstConnection uint64 = 1 << 40

// dial connects to the runner at an address. The error is syscall.ECONNREFUSED if there is no such runner or it is down.
func (h *harness) dial(ctx context.Context, address string) (net.Conn, error) {
	const handshakeDelay = 100 * time.Microsecond
	conn := &runnerConn{harness: h, request: h.nextConnection(), incoming: make(chan []byte, 1),
		reset: make(chan struct{}), closed: make(chan struct{}), expired: make(chan struct{})}
	connected := make(chan error, 1)
	h.enqueue(conn.request, func() {
		h.machine.After(handshakeDelay, func() {
			h.deliver(func() { connected <- conn.connect(h.cluster.runnerAt(address)) })
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

// nextConnection returns the request number of a new connection.
func (h *harness) nextConnection() uint64 {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	h.connections++
	return firstConnection + h.connections
}

// connect connects to a runner, which may be nil. Only the world's goroutine may call it.
func (c *runnerConn) connect(runner *simulation.Runner) error {
	if runner != nil {
		c.runner = runner.Connect(c.delivering(c.resetByPeer))
	}
	if c.runner == nil {
		return syscall.ECONNREFUSED
	}
	return nil
}

// delivering returns a function for the world's goroutine that delivers an input to the process if the incarnation that
// made the connection still runs.
func (c *runnerConn) delivering(input func()) func() {
	return c.harness.inIncarnation(func() { c.harness.deliver(input) })
}

// resetByPeer makes all later reads and writes fail with syscall.ECONNRESET, as after a reset by the runner.
func (c *runnerConn) resetByPeer() {
	select {
	case <-c.reset:
	default:
		close(c.reset)
	}
}

// Write sends an HTTP request to the runner. data must contain the complete request.
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
	c.harness.enqueue(c.request, func() { c.send(path, body) })
	return len(data), nil
}

// send delivers a call to the runner, and its response back to the process. If the network loses messages, the connection
// may be reset instead of returning the response. In that case the runner executes the call just before the reset, at a
// drawn time within maxDelay, or never, so that the agent can't know whether the call was executed. Only the world's
// goroutine may call it.
func (c *runnerConn) send(path string, body []byte) {
	const resetsPerLoss = 0.25 // probability of a reset per call, as a fraction of the network's message loss
	world := c.harness.cluster.world
	reset := c.delivering(c.resetByPeer)
	isReset := world.Chance(resetsPerLoss * c.harness.cluster.deployment.Network.Loss)
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

// receive makes a response available to the reader. It drops the response if the previous one has not been read.
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

// Read returns bytes of the runner's responses, and blocks until there are any or the connection ends. Only one goroutine
// may call it at a time.
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

// SetDeadline sets the time at which reads fail with os.ErrDeadlineExceeded. at is a time of package time. The clock of that
// package stands still in the bubble: synctest.Wait returns before the clock advances. Therefore the deadline in virtual
// time is also time.Until(at) from now. A time in the past ends reads at once.
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
	c.timer = machineClock{c.harness, c.request}.newTimer(func() { close(expired) })
	c.timer.Reset(left)
	return nil
}

// expire ends the current read and all later ones until the next deadline is set. The caller must hold the mutex.
func (c *runnerConn) expire() {
	select {
	case <-c.expired:
	default:
		close(c.expired)
	}
}

// SetReadDeadline does the same as SetDeadline.
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
