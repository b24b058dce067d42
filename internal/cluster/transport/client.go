package transport

import (
	"context"
	"reflect"
	"sync"
	"time"

	"github.com/pkg/errors"

	"ospreypond/internal/cluster/failure"
)

// Client calls other processes. It has one connection for each address.
type Client struct {
	options ClientOptions
	ctx     context.Context
	cancel  context.CancelFunc

	mutex          sync.Mutex
	peers          map[string]*peer
	probeScheduled bool // a probe is scheduled
	closed         bool
}

// NewClient returns a client. It must be closed.
func NewClient(options ClientOptions) *Client {
	c := &Client{options: options.withDefaults(), peers: map[string]*peer{}}
	c.ctx, c.cancel = context.WithCancel(context.Background())
	return c
}

// Close closes all connections and fails all calls. It does not wait for them; the goroutines of the connections end
// at once, or after a dial that ignores its context.
func (c *Client) Close() {
	c.cancel()
	c.mutex.Lock()
	c.closed = true
	peers := make([]*peer, 0, len(c.peers))
	for _, p := range c.peers {
		peers = append(peers, p)
	}
	c.mutex.Unlock()
	for _, p := range peers {
		p.close()
	}
}

func (c *Client) isClosed() bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.closed
}

// Call sends request to the process at address and returns its response, or an error as Client.Do.
func Call[Req, Resp any](ctx context.Context, c *Client, address string, request *Req) (*Resp, error) {
	response := new(Resp)
	if err := c.Do(ctx, address, request, response); err != nil {
		return nil, err
	}
	return response, nil
}

// CallLong is Call for a long poll; see Client.DoLong.
func CallLong[Req, Resp any](ctx context.Context, c *Client, address string, request *Req) (*Resp, error) {
	response := new(Resp)
	if err := c.DoLong(ctx, address, request, response); err != nil {
		return nil, err
	}
	return response, nil
}

// Send sends a one-way message. It never blocks; a message that cannot be queued is dropped.
func Send[Msg any](c *Client, address string, message *Msg) {
	connection, err := c.connection(address)
	if err != nil {
		return
	}
	_, _ = connection.out.put(header{kind: frameMessage}, message)
}

// Do calls the process at address, until ctx ends. request and response are pointers; response must not be used after
// an error. The error is a failure.Error: with the kind and leader that the peer's handler returned; Unavailable if
// the request certainly was not written completely; UnknownOutcome if it may have been; TooLarge or Invalid if it
// cannot be sent.
func (c *Client) Do(ctx context.Context, address string, request, response any) error {
	return c.do(ctx, address, request, response, shortCall)
}

// DoLong is Do for a call whose response the peer may delay, as for a long poll. While only such calls are pending,
// the peer is not probed. If nothing at all was received from the peer until ctx's deadline, the connection is closed.
func (c *Client) DoLong(ctx context.Context, address string, request, response any) error {
	return c.do(ctx, address, request, response, longCall)
}

func (c *Client) do(ctx context.Context, address string, request, response any, kind callKind) error {
	select {
	case <-ctx.Done():
		return failure.Newf(failure.Unavailable, "%s: not sent: %v", address, ctx.Err())
	default:
	}
	connection, err := c.connection(address)
	if err != nil {
		return err
	}
	pending := &call{kind: kind, response: response, done: make(chan error, 1)}
	pending.responseName = reflect.TypeOf(response).Elem().String()
	if kind == longCall {
		pending.readsBefore = connection.reads()
	}
	id, err := connection.start(pending, request, c.remaining(ctx))
	if err != nil {
		return err
	}
	if kind == shortCall {
		c.scheduleProbe()
	}
	select {
	case err := <-pending.done:
		return err
	case <-ctx.Done():
		return c.abandon(ctx, connection, pending, id)
	}
}

// remaining returns the time until ctx's deadline, at least 1 ms; 0 if there is no deadline.
func (c *Client) remaining(ctx context.Context) time.Duration {
	deadline, ok := ctx.Deadline()
	if !ok {
		return 0
	}
	return max(c.options.Clock.Until(deadline), time.Millisecond)
}

// abandon ends a call whose ctx has ended.
func (c *Client) abandon(ctx context.Context, from *connection, pending *call, id uint64) error {
	state := from.abandon(id)
	switch state {
	case abandonedAnswered:
		select {
		case err := <-pending.done:
			return err
		default: // the response is being decoded
		}
	case abandonedUnsent:
		return failure.Newf(failure.Unavailable, "%s: not sent: %v", from.peer.address, ctx.Err())
	}
	deadlineExceeded := errors.Is(ctx.Err(), context.DeadlineExceeded)
	if pending.kind == longCall && deadlineExceeded && from.reads() == pending.readsBefore {
		from.end(errUnresponsive)
	}
	if pending.kind == shortCall {
		c.scheduleProbe()
	}
	return failure.Newf(failure.UnknownOutcome, "%s: no response: %v", from.peer.address, ctx.Err())
}

// connection returns the connection to an address, a new one if there is none.
func (c *Client) connection(address string) (*connection, error) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.closed {
		return nil, failure.New(failure.Unavailable, "the client is closed")
	}
	p := c.peers[address]
	if p == nil {
		p = &peer{client: c, address: address}
		c.peers[address] = p
	}
	return p.acquire()
}

// scheduleProbe schedules the next probe unless one is scheduled.
func (c *Client) scheduleProbe() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.probeScheduled || c.closed {
		return
	}
	c.probeScheduled = true
	c.options.Clock.AfterFunc(c.options.ProbeInterval, c.probe)
}

// probe probes all connections, and schedules the next probe as long as any needs it.
func (c *Client) probe() {
	c.mutex.Lock()
	c.probeScheduled = false
	connections := make([]*connection, 0, len(c.peers))
	for _, p := range c.peers {
		if current := p.current(); current != nil {
			connections = append(connections, current)
		}
	}
	c.mutex.Unlock()
	busy := false
	for _, each := range connections {
		if each.probe() {
			busy = true
		}
	}
	if busy {
		c.scheduleProbe()
	}
}
