package egress

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"sync"
	"syscall"
	"time"

	"ospreypond/policy"
)

// maxDials is how many connections are opened for one request while each is refused, or breaks before the request is
// written. Guards against a network that resets single connections, which would make runners look as if they were
// down. One that is down refuses all of them at once.
const maxDials = 3

// unrepeatable returns a request's body that http.Transport cannot send again by itself. Guards against silent
// resends: a transport repeats a request on which a reused connection broke if it has no body, or one that GetBody
// can make anew, and is a GET or carries an Idempotency-Key. So there is a body even if it is empty, and no GetBody.
// It is of a type that the transport knows to be in memory: headers and body are written at once.
func unrepeatable(body []byte) io.ReadCloser { return io.NopCloser(bytes.NewReader(body)) }

// call is one request to a target, on one connection after the other until one has written it.
type call struct {
	e         *Egress
	isJob     bool          // not a probe
	deadline  time.Time     // when the wait for the response is over; zero: a probe, without X-Timeout
	request   *http.Request // the one being sent; of the goroutine of do
	mu        sync.Mutex
	conn      *conn
	requestNo int           // of this request on conn
	reused    bool          // conn carried a request before this one
	idleFor   time.Duration // for which conn was idle before
}

// do sends a request and returns its response. The caller owns ctx; build makes the request for a base URL, and gate
// is called before its first byte is written, with the lock of its connection held. A reused connection that was idle
// for too long, or breaks before the request's last byte is written, is passed over for the next one: what is incomplete
// on the wire is no attempt, so this resends nothing.
func (c *call) do(ctx context.Context, target string, gate func() error,
	build func(ctx context.Context, base string) (*http.Request, error)) (*http.Response, error) {
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		if own, ok := info.Conn.(*conn); ok {
			c.gotConn(own, info, gate)
		}
	}})
	for dials := 0; ; {
		resp, err := c.roundTrip(ctx, target, build)
		if err == nil || ctx.Err() != nil || !c.mayRedial(err, &dials) {
			return resp, err
		}
	}
}

// gotConn notes the connection that the request is about to be written to. net/http calls it in the goroutine of
// RoundTrip, before the headers are written.
func (c *call) gotConn(own *conn, info httptrace.GotConnInfo, gate func() error) {
	idleTooLong := info.Reused && info.IdleTime > c.e.idleLimit.at(time.Now())
	requestNo := own.beginRequest(info.Reused, c.isJob, func() error {
		if idleTooLong {
			return errIdleTooLong
		}
		return gate()
	})
	c.mu.Lock()
	c.conn, c.requestNo, c.reused, c.idleFor = own, requestNo, info.Reused, info.IdleTime
	c.mu.Unlock()
	c.setTimeoutHeader()
}

// roundTrip sends the request on one connection. Its error is errStray if what was read can't be the response.
func (c *call) roundTrip(ctx context.Context, target string,
	build func(ctx context.Context, base string) (*http.Request, error)) (*http.Response, error) {
	c.mu.Lock()
	c.conn, c.reused = nil, false
	c.mu.Unlock()
	route, ok := c.e.table.Lookup(target)
	if !ok {
		return nil, fmt.Errorf("%s: not in the route table", target)
	}
	var err error
	if c.request, err = build(ctx, "http://"+route.Dial); err != nil {
		return nil, err
	}
	resp, err := c.e.transport(target).RoundTrip(c.request)
	if own := c.connection(); err == nil && own != nil && !own.mayBeResponse() {
		c.abandon() // first, so that the connection can't be reused
		_ = resp.Body.Close()
		return nil, errStray
	}
	return resp, err
}

// mayRedial reports whether the request may be sent on another connection after err: it certainly was not written, and
// fewer than maxDials connections were opened for it.
func (c *call) mayRedial(err error, dials *int) bool {
	c.mu.Lock()
	own, reused, idleFor := c.conn, c.reused, c.idleFor
	c.mu.Unlock()
	if own == nil { // no connection came up
		*dials++
		return *dials < maxDials && (errors.Is(err, syscall.ECONNREFUSED) || errors.Is(err, syscall.ECONNRESET))
	}
	unsent, gateErr := c.abandon(), own.gateError()
	switch {
	case !reused:
		*dials++
	case gateErr == nil && !errors.Is(err, errStray):
		c.e.idleLimit.broke(time.Now(), idleFor)
	}
	return unsent && !isFinal(gateErr) && *dials < maxDials
}

// setTimeoutHeader sets how long the response is waited for. Guards against a dial that takes long, which would make the
// target believe in time that has elapsed: it is called once the connection is up, before the headers are written.
func (c *call) setTimeoutHeader() {
	if !c.deadline.IsZero() {
		left := max(0, time.Until(c.deadline))
		c.request.Header.Set("X-Timeout", strconv.FormatInt(left.Microseconds(), 10)+"u")
	}
}

// isFinal reports whether a gate's error holds for every connection, not only for one that can't be reused.
func isFinal(gateErr error) bool {
	return gateErr != nil && !errors.Is(gateErr, errIdleTooLong) && !errors.Is(gateErr, errStray)
}

// gateError returns why the request was not written to its connection, or nil.
func (c *call) gateError() error {
	if own := c.connection(); own != nil {
		return own.gateError()
	}
	return nil
}

// connection returns the connection of the request, or nil.
func (c *call) connection() *conn {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.conn
}

// abandon closes the call's connection, if it has one, and reports whether the request certainly was not written
// completely.
func (c *call) abandon() (unsent bool) {
	c.mu.Lock()
	own, requestNo := c.conn, c.requestNo
	c.mu.Unlock()
	return own == nil || own.abandon(requestNo)
}

// responseEnded notes that the response was read to its end.
func (c *call) responseEnded() {
	c.mu.Lock()
	own, requestNo := c.conn, c.requestNo
	c.mu.Unlock()
	own.responseEnded(requestNo)
}

// abort closes the connection, if there is one, of a call without a usable response, and returns the outcome. What
// was incomplete on the wire did not run, whatever ended it.
func (c *call) abort(ctx context.Context) policy.Outcome {
	unsent := c.abandon()
	switch {
	case unsent && (ctx.Err() != nil || isFinal(c.gateError())):
		return policy.Moot
	case unsent:
		return policy.ConnectFailed
	case errors.Is(context.Cause(ctx), context.DeadlineExceeded):
		return policy.TimedOut
	case ctx.Err() != nil:
		return policy.Cancelled
	}
	return policy.Reset
}
