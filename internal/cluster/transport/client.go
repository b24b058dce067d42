package transport

import (
	"context"
	"reflect"
	"sync"
	"time"

	"github.com/pkg/errors"

	"ospreypond/internal/cluster/failure"
)

// Client calls other processes. It keeps one connection for each address, made when first needed.
type Client struct {
	options ClientOptions
	ctx     context.Context
	cancel  context.CancelFunc

	mutex   sync.Mutex
	peers   map[string]*peer
	probing bool // the next probe is due
	closed  bool
}

// NewClient returns a client.
func NewClient(options ClientOptions) *Client {
	c := &Client{options: options.complete(), peers: map[string]*peer{}}
	c.ctx, c.cancel = context.WithCancel(context.Background())
	return c
}

// Close ends all connections and calls.
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

// Call sends request to the process at address and waits for its answer, until ctx ends. See Client.Do for the error.
func Call[Req, Resp any](ctx context.Context, c *Client, address string, request *Req) (*Resp, error) {
	response := new(Resp)
	if err := c.Do(ctx, address, request, response); err != nil {
		return nil, err
	}
	return response, nil
}

// CallLong is Call for a long poll, see Client.DoLong.
func CallLong[Req, Resp any](ctx context.Context, c *Client, address string, request *Req) (*Resp, error) {
	response := new(Resp)
	if err := c.DoLong(ctx, address, request, response); err != nil {
		return nil, err
	}
	return response, nil
}

// Send sends a message that wants no answer. It never waits; a message that cannot be queued is dropped.
func Send[Msg any](c *Client, address string, message *Msg) {
	connection, err := c.connection(address)
	if err != nil {
		return
	}
	_, _ = connection.out.put(header{kind: frameMessage}, message)
}

// Do is Call with pointers to the request and to the response, which must not be used after an error. The error has the
// kind and the leader that the peer's handler gave; or Unavailable if the request certainly was not handed over, or
// UnknownOutcome if it may have been; or TooLarge or Invalid if it can't be sent.
func (c *Client) Do(ctx context.Context, address string, request, response any) error {
	return c.do(ctx, address, request, response, false)
}

// DoLong is Do for a call whose answer the peer may hold back. While only such calls are out, the peer is not probed;
// if ctx's deadline passes with nothing heard from the peer meanwhile, the connection is cut.
func (c *Client) DoLong(ctx context.Context, address string, request, response any) error {
	return c.do(ctx, address, request, response, true)
}

func (c *Client) do(ctx context.Context, address string, request, response any, long bool) error {
	select {
	case <-ctx.Done():
		return failure.Newf(failure.Unavailable, "%s: not asked: %v", address, ctx.Err())
	default:
	}
	connection, err := c.connection(address)
	if err != nil {
		return err
	}
	waiting := &call{long: long, response: response, done: make(chan error, 1)}
	waiting.responseName = reflect.TypeOf(response).Elem().String()
	if long {
		waiting.readsBefore = connection.reads()
	}
	id, err := connection.start(waiting, request, c.remaining(ctx))
	if err != nil {
		return err
	}
	if !long {
		c.startProbing()
	}
	select {
	case err := <-waiting.done:
		return err
	case <-ctx.Done():
		return c.giveUp(ctx, connection, waiting, id)
	}
}

func (c *Client) remaining(ctx context.Context) time.Duration {
	deadline, ok := ctx.Deadline()
	if !ok {
		return 0
	}
	return max(c.options.Clock.Until(deadline), time.Millisecond)
}

// giveUp ends a call whose ctx has ended.
func (c *Client) giveUp(ctx context.Context, from *connection, waiting *call, id uint64) error {
	gone, neverLeft := from.giveUp(id)
	if gone {
		select {
		case err := <-waiting.done:
			return err
		default: // it is being read right now
		}
	}
	if neverLeft {
		return failure.Newf(failure.Unavailable, "%s: not sent: %v", from.peer.address, ctx.Err())
	}
	if waiting.long && errors.Is(ctx.Err(), context.DeadlineExceeded) && from.reads() == waiting.readsBefore {
		from.end(errSilent)
	}
	if !waiting.long {
		c.startProbing()
	}
	return failure.Newf(failure.UnknownOutcome, "%s: no answer: %v", from.peer.address, ctx.Err())
}

// connection returns the connection to an address, a new one if need be.
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
	return p.use()
}

// startProbing has the next probe made, unless it is due already.
func (c *Client) startProbing() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.probing || c.closed {
		return
	}
	c.probing = true
	c.options.Clock.AfterFunc(c.options.ProbeInterval, c.probe)
}

// probe looks after all connections, and goes on while calls are out.
func (c *Client) probe() {
	c.mutex.Lock()
	c.probing = false
	connections := make([]*connection, 0, len(c.peers))
	for _, p := range c.peers {
		if current := p.present(); current != nil {
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
		c.startProbing()
	}
}
