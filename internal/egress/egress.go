// Package egress speaks to the runners, the egress targets: it makes hops and probes over HTTP and says how
// each ended. It decides nothing.
package egress

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/sirupsen/logrus"

	"ospreypond/internal/config"
	"ospreypond/internal/exchange"
	"ospreypond/internal/routetable"
	"ospreypond/policy"
)

const (
	// idleShare is the part of the runner's own limit for which an idle connection is kept. A runner closes at
	// that limit, and what is written as it does ends as a reset.
	idleShare = 0.85
	// idlePerTarget is more than one target's share of the hops at once: a connection closed only because too
	// many are idle costs the runner a handshake when it is opened again.
	idlePerTarget = 256
	// drainLimit is how long the rest of an answer is read for after its result, so that its connection
	// can be used again.
	drainLimit = time.Second
	// settleLimit is the same after any other end, which is told only then: another attempt may follow it. The rest
	// usually came with the last line.
	settleLimit = 20 * time.Millisecond
	// maxDials is how many connections are tried for one request while each is refused, or breaks before it is
	// written. Guards against a network that resets single connections, which would make runners look as if they
	// were down. One that is down refuses all of them at once.
	maxDials = 3
	// maxLine bounds one line of an answer and maxAnswer all of it; by the protocol no body exceeds 64 KiB.
	maxLine   = 128 << 10
	maxAnswer = 256 << 10
)

var (
	errNotOpen   = errors.New("the target takes nothing new")
	errNoSockets = errors.New("out of sockets for egress targets")
)

// Egress makes hops and probes. It is safe for use by several goroutines.
type Egress struct {
	table  *routetable.Table
	tuned  atomic.Pointer[tuning]
	budget int64 // connections at once
	open   atomic.Int64
	kept   keep
	warned rarely
	log    logrus.FieldLogger

	mu      sync.Mutex
	targets map[string]*http.Transport
}

// tuning is what the settings in force say of connections and reports.
type tuning struct {
	settings *config.Settings
	dialer   net.Dialer
	idle     time.Duration // for which an idle connection is kept
}

func newTuning(c *config.Config) *tuning {
	return &tuning{&c.Settings, net.Dialer{Timeout: c.Policy.ConnectTimeout}, time.Duration(idleShare * float64(c.Policy.ConnIdle))}
}

// New returns an Egress that opens at most budget connections.
func New(t *routetable.Table, c *config.Config, budget int, log logrus.FieldLogger) *Egress {
	e := &Egress{table: t, budget: int64(budget), log: log, targets: map[string]*http.Transport{}}
	e.tuned.Store(newTuning(c))
	e.kept.allow(e.tuned.Load().idle)
	return e
}

// Retune goes by c's settings from now on: by them reports are read, connections dialled, and idle ones kept. Hops under
// way are not touched.
func (e *Egress) Retune(c *config.Config) {
	next := newTuning(c)
	e.mu.Lock()
	defer e.mu.Unlock()
	if next.idle != e.tuned.Load().idle { // a transport keeps to the limit that it was made with
		for target, tr := range e.targets {
			tr.CloseIdleConnections()
			delete(e.targets, target)
		}
		e.kept.allow(next.idle)
	}
	e.tuned.Store(next)
}

// rarely lets one line through each second. Guards against a log that one client, or one runner, fills.
type rarely struct{ last atomic.Int64 }

func (r *rarely) due(now time.Time) bool {
	last := r.last.Load()
	return now.UnixNano()-last >= int64(time.Second) && r.last.CompareAndSwap(last, now.UnixNano())
}

// transport returns the target's own transport.
func (e *Egress) transport(target string) *http.Transport {
	e.mu.Lock()
	defer e.mu.Unlock()
	tr := e.targets[target]
	if tr == nil {
		tr = &http.Transport{
			DialContext:            e.dial,
			Proxy:                  nil,
			DisableCompression:     true,
			MaxIdleConnsPerHost:    idlePerTarget,
			IdleConnTimeout:        e.tuned.Load().idle,
			MaxResponseHeaderBytes: 64 << 10,
			Protocols:              new(http.Protocols),
		}
		tr.Protocols.SetHTTP1(true)
		e.targets[target] = tr
	}
	return tr
}

// dial opens a connection within the socket budget. Guards against running out of descriptors, which would
// also keep clients out: idle connections go first, then dials fail.
func (e *Egress) dial(ctx context.Context, network, addr string) (net.Conn, error) {
	if e.open.Add(1) > e.budget {
		e.closeAllIdle()
		if e.open.Load() > e.budget {
			e.open.Add(-1)
			if e.warned.due(time.Now()) {
				e.log.WithField("budget", e.budget).Warn("out of sockets for egress targets")
			}
			return nil, errNoSockets
		}
	}
	c, err := e.tuned.Load().dialer.DialContext(ctx, network, addr)
	if err != nil {
		e.open.Add(-1)
		return nil, err
	}
	return &conn{Conn: c, closed: func() { e.open.Add(-1) }}, nil
}

func (e *Egress) closeAllIdle() {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, tr := range e.targets {
		tr.CloseIdleConnections()
	}
}

// CloseIdle closes the idle connections to a target.
func (e *Egress) CloseIdle(target string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if tr := e.targets[target]; tr != nil {
		tr.CloseIdleConnections()
	}
}

// Prune drops the state of targets that are gone from the route table.
func (e *Egress) Prune() {
	e.mu.Lock()
	defer e.mu.Unlock()
	for target, tr := range e.targets {
		if _, ok := e.table.Lookup(target); !ok {
			tr.CloseIdleConnections()
			delete(e.targets, target)
		}
	}
}

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

// final tells whether the gate's word holds for every connection, not only for one that was kept for too long.
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

// rest notes that the answer was read to its end.
func (c *call) rest() {
	c.mu.Lock()
	own, turn := c.conn, c.turn
	c.mu.Unlock()
	own.rest(turn)
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

// Hop makes one attempt. It returns as soon as there is a result for the client, and reads the rest of the answer
// behind the caller's back. Any other end is told once the attempt can have no effect any more on an open connection:
// its answer was read to the end, or the connection is closed.
func (e *Egress) Hop(outer context.Context, h *exchange.Hop) exchange.HopEnd {
	// The caller ends its context when the hop has ended, but the connection is good for another hop only once
	// the answer was read to its end. So the call has a context of its own.
	ctx, cancel := context.WithCancelCause(context.WithoutCancel(outer))
	detach := context.AfterFunc(outer, func() { cancel(context.Cause(outer)) })
	end := exchange.HopEnd{Report: policy.NoReport}

	c := call{e: e, job: true, until: h.Deadline}
	gate := func() error {
		if !e.table.Open(h.Target) {
			return errNotOpen
		}
		return h.Begin(time.Now())
	}
	resp, err := c.do(ctx, h.Target, gate, func(base string) (*http.Request, error) {
		return hopRequest(base, h)
	})
	if err != nil {
		if end.Outcome = c.broken(ctx); errors.Is(err, errNoSockets) {
			end.Outcome = policy.Moot // not the target's fault
		}
		detach()
		cancel(nil)
		e.log.WithError(err).WithFields(logrus.Fields{"target": h.Target, "request": h.Request.ID,
			"outcome": end.Outcome}).Debug("hop brought no answer")
		return end
	}
	if report, ok := headerReport(e.tuned.Load().settings, resp.Header); ok {
		end.Report = report
	}
	lines := newLines(resp.Body)
	if resp.StatusCode == http.StatusOK {
		e.follow(ctx, h, lines, &c, &end)
	} else {
		end.Outcome = refused(resp)
		end.Rejected = end.Outcome == policy.Cancelled
		end.Doubtful = end.Outcome == policy.Full && c.own().hadJob()
		if resp.StatusCode != http.StatusInternalServerError && end.Outcome != policy.Full && e.warned.due(time.Now()) {
			e.log.WithFields(logrus.Fields{"target": h.Target, "request": h.Request.ID, "status": resp.StatusCode}).
				Warn("target answered with an unexpected status")
		}
	}
	if detach(); end.Outcome == policy.OK {
		go drain(lines, resp.Body, &c, drainLimit, cancel)
	} else {
		drain(lines, resp.Body, &c, settleLimit, cancel)
	}
	return end
}

// hopRequest builds what the target gets: the client's request, unchanged. How long we wait is told at the last moment.
func hopRequest(base string, h *exchange.Hop) (*http.Request, error) {
	r := h.Request
	req, err := http.NewRequest(r.Method, base+r.Target, once(r.Body))
	if err != nil {
		return nil, err
	}
	req.ContentLength = int64(len(r.Body))
	req.Header["User-Agent"] = nil
	req.Header.Set("X-Request-ID", r.ID)
	if r.IdempotencyKey != "" {
		req.Header.Set("Idempotency-Key", r.IdempotencyKey)
	}
	if r.ContentType != "" {
		req.Header.Set("Content-Type", r.ContentType)
	}
	return req, nil
}

// refused tells the outcome that a status other than 200 stands for.
func refused(resp *http.Response) policy.Outcome {
	busy := resp.StatusCode == http.StatusServiceUnavailable || resp.StatusCode == http.StatusGatewayTimeout
	switch {
	case busy && resp.Header.Get("X-Not-Processed") == "1":
		return policy.Full
	case resp.StatusCode == http.StatusBadRequest:
		// Guards against one client's faulty requests making runners look sick, which every client would pay for.
		return policy.Cancelled
	}
	return policy.Failed
}

// follow reads an answer's lines up to the one that ends the hop. A line that names another request or none, or a
// result that is not there, is no runner's word on this one: its connection is closed, and it may have run.
func (e *Egress) follow(ctx context.Context, h *exchange.Hop, lines *lines, c *call, end *exchange.HopEnd) {
	for {
		l, err := lines.next()
		if err != nil {
			if end.Outcome = c.broken(ctx); policy.NeverRan(end.Outcome) {
				end.Outcome = policy.Reset // it answered, so it has the request
			}
			return
		}
		if l.ID != h.Request.ID || l.State == "done" && !l.hasResult() {
			if e.warned.due(time.Now()) {
				e.log.WithFields(logrus.Fields{"target": h.Target, "request": h.Request.ID, "got": l.ID, "state": l.State}).
					Error("target's answer is spoilt")
			}
			end.Outcome = policy.Failed
			_ = c.broken(ctx)
			return
		}
		if l.Load != nil {
			end.Report = lineReport(e.tuned.Load().settings, l.Load)
		}
		switch l.State {
		case "started":
			h.News(policy.JobStarted)
		case "running":
			h.News(policy.JobProgress)
		case "done":
			end.Outcome, end.Result = policy.OK, l.result()
			return
		case "failed":
			end.Outcome = policy.Failed
			return
		case "returned":
			end.Outcome = policy.Full
			return
		case "lost":
			end.Outcome = policy.Reset
			return
		}
	}
}

// drain reads an answer to its end within so much time, so that its connection goes back to the pool, or closes it.
func drain(lines *lines, body io.ReadCloser, c *call, within time.Duration, cancel context.CancelCauseFunc) {
	stop := time.AfterFunc(within, func() { c.abandon() })
	if lines.discard() {
		c.rest()
	} else {
		c.abandon()
	}
	stop.Stop()
	_ = body.Close()
	cancel(nil)
}

// Probe asks a target for its load. It uses the same connections as hops.
func (e *Egress) Probe(ctx context.Context, target string) exchange.HopEnd {
	end := exchange.HopEnd{Report: policy.NoReport}
	c := call{e: e}
	resp, err := c.do(ctx, target, func() error { return nil }, func(base string) (*http.Request, error) {
		req, err := http.NewRequest(http.MethodGet, base+"/stats", once(nil))
		if err == nil {
			req.ContentLength = 0
			req.Header["User-Agent"] = nil
		}
		return req, err
	})
	if err != nil {
		if end.Outcome = c.broken(ctx); errors.Is(err, errNoSockets) {
			end.Outcome = policy.Moot
		}
		return end
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxLine))
	switch {
	case err != nil:
		end.Outcome = c.broken(ctx)
	case resp.StatusCode == http.StatusOK:
		c.rest()
		end.Outcome, end.Report = policy.OK, textReport(e.tuned.Load().settings, string(body))
	case resp.StatusCode == http.StatusServiceUnavailable:
		end.Outcome = policy.Full
	default:
		end.Outcome = policy.Failed
	}
	return end
}
