package transport

import (
	"context"
	"reflect"
	"sync"
	"time"

	"github.com/pkg/errors"

	"ospreypond/internal/cluster/failure"
)

// Client calls other processes and sends them one-way messages. It has at most one connection to each address.
type Client struct {
	options ClientOptions
	ctx     context.Context // bounds dials; ends when the client is closed
	cancel  context.CancelFunc

	mutex          sync.Mutex
	peers          map[string]*peer // by address
	probeScheduled bool             // a timer that calls probe is pending
	closed         bool
}

// NewClient returns a client. The caller must close it to end its connections and their goroutines.
func NewClient(options ClientOptions) *Client {
	c := &Client{options: options.withDefaults(), peers: map[string]*peer{}}
	c.ctx, c.cancel = context.WithCancel(context.Background())
	return c
}

// Close closes all connections, so that their pending calls fail, and makes further calls fail. It waits for neither. The
// goroutines of the connections end soon afterwards; a goroutine that is still dialing ends when options.Dial returns.
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

// Call sends request to the process at address and returns its response. It returns the same errors as Client.Do.
func Call[Req, Resp any](ctx context.Context, c *Client, address string, request *Req) (*Resp, error) {
	response := new(Resp)
	if err := c.Do(ctx, address, request, response); err != nil {
		return nil, err
	}
	return response, nil
}

// CallLong sends request as a long poll, by Client.DoLong, and returns the response.
func CallLong[Req, Resp any](ctx context.Context, c *Client, address string, request *Req) (*Resp, error) {
	response := new(Resp)
	if err := c.DoLong(ctx, address, request, response); err != nil {
		return nil, err
	}
	return response, nil
}

// Send queues a one-way message for the process at address and does not wait until it is written. It drops the message
// without an error if there can be no connection now, if the queue is full or if the message cannot be encoded.
func Send[Msg any](c *Client, address string, message *Msg) {
	connection, err := c.connection(address)
	if err != nil {
		return
	}
	_, _ = connection.out.enqueue(header{kind: frameMessage}, message)
}

// Do calls the process at address and waits for the response until ctx ends. request and response are pointers. After an
// error the caller must not use response, since the reader may still be decoding into it. The error is a *failure.Error
// of one of these kinds:
//
//   - the kind that the peer's handler returned, with the handler's message and leader;
//   - Unavailable, if the request certainly was not written completely, or the server refused it before its handler ran;
//   - UnknownOutcome, if the request may have been written completely and no valid response arrived;
//   - TooLarge or Invalid, if the request exceeds MaxFrameBytes or gob cannot encode it; the request was not sent.
func (c *Client) Do(ctx context.Context, address string, request, response any) error {
	return c.do(ctx, address, request, response, shortCall)
}

// DoLong is Do for long polls: the peer may delay the response. While all pending calls of a connection are long polls,
// the client does not probe the peer. A frozen or partitioned peer is noticed only at the deadline of ctx: if no bytes
// have arrived on the connection since the call started, the client closes it, so that the next call dials again.
func (c *Client) DoLong(ctx context.Context, address string, request, response any) error {
	return c.do(ctx, address, request, response, longCall)
}

func (c *Client) do(ctx context.Context, address string, request, response any, kind callKind) error {
	select {
	case <-ctx.Done():
		return failure.Newf(failure.Unavailable, "%s: request not sent: %v", address, ctx.Err())
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

// remaining returns the time until ctx's deadline, or 0 if there is no deadline. For a deadline that has just passed it
// returns 1 ms, since 0 would give the server's handler unlimited time.
func (c *Client) remaining(ctx context.Context) time.Duration {
	deadline, ok := ctx.Deadline()
	if !ok {
		return 0
	}
	return max(c.options.Clock.Until(deadline), time.Millisecond)
}

// abandon ends a call whose ctx has ended, and returns the call's result. If the response arrived just before ctx ended,
// the result is that of the response.
func (c *Client) abandon(ctx context.Context, from *connection, pending *call, id uint64) error {
	state := from.abandon(id)
	switch state {
	case abandonedAnswered:
		select {
		case err := <-pending.done:
			return err
		default: // no result yet, e.g. the reader is still decoding the response: report an unknown outcome
		}
	case abandonedUnsent:
		return failure.Newf(failure.Unavailable, "%s: request not sent: %v", from.peer.address, ctx.Err())
	}
	deadlineExceeded := errors.Is(ctx.Err(), context.DeadlineExceeded)
	if pending.kind == longCall && deadlineExceeded && from.reads() == pending.readsBefore {
		from.end(errUnresponsive)
	}
	if pending.kind == shortCall {
		c.scheduleProbe()
	}
	return failure.Newf(failure.UnknownOutcome, "%s: request may have been sent, no response: %v", from.peer.address, ctx.Err())
}

// connection returns the connection to an address. It starts a new one if there is none.
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

// scheduleProbe starts the timer of the next probe unless it runs or the client is closed.
func (c *Client) scheduleProbe() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.probeScheduled || c.closed {
		return
	}
	c.probeScheduled = true
	c.options.Clock.AfterFunc(c.options.ProbeInterval, c.probe)
}

// probe probes all connections. It schedules the next probe if any connection has a short call pending or is suspect.
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
