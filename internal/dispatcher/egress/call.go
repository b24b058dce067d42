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

// maxDials is the maximum number of connections opened for one request. A further one is opened only while the request was
// certainly not written completely, see mayRedial. With one dial only, a network that resets single connections would make
// healthy runners look as if they were down. A runner that is down refuses all of the dials at once, so they delay its
// detection little.
const maxDials = 3

// unrepeatableBody returns a request body that http.Transport cannot resend on its own. A transport silently resends a
// request after a reused connection broke, if two conditions hold: the request is a GET or has an Idempotency-Key, and
// its body is missing or can be recreated by GetBody. So each request gets a body, even an empty one, and no GetBody.
// The transport recognizes the body's type as being in memory, and therefore writes headers and body in one write.
func unrepeatableBody(body []byte) io.ReadCloser { return io.NopCloser(bytes.NewReader(body)) }

// call is one request to a target. It tries connections in turn until the request is written to one.
type call struct {
	e         *Egress
	isJob     bool          // false: a probe
	deadline  time.Time     // the end of the wait for the response; zero for a probe, which has no X-Timeout
	request   *http.Request // the request being sent; only the goroutine in do uses it
	mu        sync.Mutex    // guards the fields below
	conn      *conn         // the connection that the request is written to; nil until the transport has chosen one
	requestNo int           // the number of this request among the requests on conn
	reused    bool          // conn carried a request before this one
	idleFor   time.Duration // how long conn was idle before this request
}

// do sends a request and returns its response. The caller cancels ctx. build makes the request for a base URL. gate is
// called right before the first byte is written, with the connection's lock held; if it returns an error, no byte is
// written.
//
// do tries another connection, if mayRedial allows it, in four cases: the dial was refused or reset, a reused connection was
// idle for too long, stray bytes were read on the connection, or it broke before the request's last byte was written. A
// runner doesn't run an incomplete request, so do never causes a request to run twice.
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

// gotConn records the connection that the request is about to be written to. net/http calls it in the goroutine of
// RoundTrip, before it writes the headers.
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

// roundTrip sends the request on one connection. It returns errStray if the bytes that were read can't be the response
// to this request.
func (c *call) roundTrip(ctx context.Context, target string,
	build func(ctx context.Context, base string) (*http.Request, error)) (*http.Response, error) {
	c.mu.Lock()
	c.conn, c.reused = nil, false
	c.mu.Unlock()
	route, ok := c.e.table.Lookup(target)
	if !ok {
		return nil, fmt.Errorf("target %q is not in the route table", target)
	}
	var err error
	if c.request, err = build(ctx, "http://"+route.Dial); err != nil {
		return nil, err
	}
	resp, err := c.e.transport(target).RoundTrip(c.request)
	if own := c.connection(); err == nil && own != nil && !own.mayBeResponse() {
		c.abandon() // before the body is closed, which could return the connection to the pool
		_ = resp.Body.Close()
		return nil, errStray
	}
	return resp, err
}

// mayRedial reports whether the request may be sent on another connection after err. It may if its last byte was
// certainly not written, the gate's error doesn't hold for every connection, and fewer than maxDials connections were
// opened for it. dials counts these; a reused connection doesn't count.
func (c *call) mayRedial(err error, dials *int) bool {
	c.mu.Lock()
	own, reused, idleFor := c.conn, c.reused, c.idleFor
	c.mu.Unlock()
	if own == nil { // no connection was established
		*dials++
		return *dials < maxDials && (errors.Is(err, syscall.ECONNREFUSED) || errors.Is(err, syscall.ECONNRESET))
	}
	unsent, gateErr := c.abandon(), own.gateError()
	switch {
	case !reused:
		*dials++
	case gateErr == nil && !errors.Is(err, errStray):
		c.e.idleLimit.recordBreak(time.Now(), idleFor)
	}
	return unsent && !isFinal(gateErr) && *dials < maxDials
}

// setTimeoutHeader sets X-Timeout to the time left until the call's deadline, in microseconds. It is called after the
// dial and before the headers are written. If the time were computed before the dial, the target would count the time
// of a slow dial as time that is still left.
func (c *call) setTimeoutHeader() {
	if !c.deadline.IsZero() {
		left := max(0, time.Until(c.deadline))
		c.request.Header.Set("X-Timeout", strconv.FormatInt(left.Microseconds(), 10)+"u")
	}
}

// isFinal reports whether the gate's error would be the same on every connection, so that trying another is useless.
// errIdleTooLong and errStray concern a single connection.
func isFinal(gateErr error) bool {
	return gateErr != nil && !errors.Is(gateErr, errIdleTooLong) && !errors.Is(gateErr, errStray)
}

// gateError returns the gate's error if the gate kept the request from its connection, or nil.
func (c *call) gateError() error {
	if own := c.connection(); own != nil {
		return own.gateError()
	}
	return nil
}

// connection returns the connection of the request, or nil if the transport has not chosen one yet.
func (c *call) connection() *conn {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.conn
}

// abandon closes the call's connection, if it has one, and reports whether the request's last byte was certainly not
// written.
func (c *call) abandon() (unsent bool) {
	c.mu.Lock()
	own, requestNo := c.conn, c.requestNo
	c.mu.Unlock()
	return own == nil || own.abandon(requestNo)
}

// responseEnded records on the connection that the response was read to its end.
func (c *call) responseEnded() {
	c.mu.Lock()
	own, requestNo := c.conn, c.requestNo
	c.mu.Unlock()
	own.responseEnded(requestNo)
}

// abort closes the connection, if there is one, of a call that has no usable response, and returns the outcome. A
// request that was not written completely did not run, whether a timeout, a cancellation or a broken connection ended
// it.
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
