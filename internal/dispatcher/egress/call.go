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

// maxDials is how many connections are tried for one request while each is refused, or breaks before it is
// written. Guards against a network that resets single connections, which would make runners look as if they
// were down. One that is down refuses all of them at once.
const maxDials = 3

// once returns a request's body that http.Transport cannot send again by itself. Guards against silent resends:
// a transport repeats a request on which a kept connection broke if it has no body, or one that it can get
// anew, and is a GET or carries an Idempotency-Key. So there is a body also where it is empty, and no GetBody.
// It is of a type that the transport knows to be in memory: headers and body go out in one write.
func once(body []byte) io.ReadCloser { return io.NopCloser(bytes.NewReader(body)) }

// call is one request to a target on its way.
type call struct {
	e      *Egress
	job    bool      // not a probe
	until  time.Time // when the wait for the answer is over; zero: a probe, which tells none
	mu     sync.Mutex
	conn   *conn
	turn   int  // the request's number on conn
	reused bool // conn served a request before this one
	idle   time.Duration
}

// do sends a request with the trace that tells what became of it. The caller owns ctx. A kept connection that is
// too old, or breaks before the request's last byte is written, is passed over for the next: what is not whole
// on the wire is no attempt, so this resends nothing.
func (c *call) do(ctx context.Context, target string, gate func() error, build func(base string) (*http.Request, error)) (
	*http.Response, error) {
	var req *http.Request
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		if own, ok := info.Conn.(*conn); ok {
			tooOld := info.Reused && info.IdleTime > c.e.kept.limit(time.Now())
			turn := own.begin(info.Reused, c.job, func() error {
				if tooOld {
					return errTooOld
				}
				return gate()
			})
			c.mu.Lock()
			c.conn, c.turn, c.reused, c.idle = own, turn, info.Reused, info.IdleTime
			c.mu.Unlock()
			c.tellTime(req)
		}
	}})
	for dials := 0; ; {
		route, ok := c.e.table.Lookup(target)
		if !ok {
			return nil, fmt.Errorf("%s: not in the route table", target)
		}
		var err error
		if req, err = build("http://" + route.Dial); err != nil {
			return nil, err
		}
		c.mu.Lock()
		c.conn, c.reused = nil, false
		c.mu.Unlock()
		resp, err := c.e.transport(target).RoundTrip(req.WithContext(ctx))
		c.mu.Lock()
		own, reused, idle := c.conn, c.reused, c.idle
		c.mu.Unlock()
		if err == nil && own != nil && !own.answers() {
			err = errStray
			defer resp.Body.Close() // its connection is abandoned below
		}
		if err == nil || ctx.Err() != nil {
			return resp, err
		}
		if own == nil { // no connection came up
			if dials++; dials >= maxDials || !errors.Is(err, syscall.ECONNREFUSED) && !errors.Is(err, syscall.ECONNRESET) {
				return nil, err
			}
			continue
		}
		unsent, no := c.abandon(), own.refusal()
		switch {
		case !reused:
			dials++
		case no == nil && !errors.Is(err, errStray):
			c.e.kept.broke(time.Now(), idle)
		}
		if !unsent || final(no) || dials >= maxDials {
			return nil, err
		}
	}
}

// tellTime has the request tell how long its answer is waited for. Guards against a dial that takes long, of which the
// time that the target was told knew nothing: it is called as the connection is there and before the headers are
// written, by the goroutine that called RoundTrip.
func (c *call) tellTime(req *http.Request) {
	if !c.until.IsZero() {
		left := max(0, time.Until(c.until))
		req.Header.Set("X-Timeout", strconv.FormatInt(left.Microseconds(), 10)+"u")
	}
}

// final tells whether the gate's error holds for every connection, not only for one that was kept for too long.
func final(no error) bool {
	return no != nil && !errors.Is(no, errTooOld) && !errors.Is(no, errStray)
}

// refusal returns why this side kept the request from its connection.
func (c *call) refusal() error {
	if own := c.own(); own != nil {
		return own.refusal()
	}
	return nil
}

// own returns the connection that the request went to, or nil.
func (c *call) own() *conn {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.conn
}

// abandon closes the call's connection, if it has one, and tells whether the request certainly was not written whole.
func (c *call) abandon() (unsent bool) {
	c.mu.Lock()
	own, turn := c.conn, c.turn
	c.mu.Unlock()
	return own == nil || own.abandon(turn)
}

// answerEnded notes that the answer was read to its end.
func (c *call) answerEnded() {
	c.mu.Lock()
	own, turn := c.conn, c.turn
	c.mu.Unlock()
	own.answerEnded(turn)
}

// broken closes the connection of a call that brought no usable answer, if it has one, and tells the outcome. What
// was never whole on the wire did not run, whatever ended it.
func (c *call) broken(ctx context.Context) policy.Outcome {
	unsent := c.abandon()
	switch {
	case unsent && (ctx.Err() != nil || final(c.refusal())):
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
