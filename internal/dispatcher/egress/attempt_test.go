package egress

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"ospreypond/internal/dispatcher/config"
	"ospreypond/internal/dispatcher/coordinator"
	"ospreypond/policy"
)

// readRequest reads one request completely, as a runner does before it starts.
func readRequest(from *bufio.Reader) bool {
	req, err := http.ReadRequest(from)
	if err != nil {
		return false
	}
	_, err = io.Copy(io.Discard, req.Body)
	return err == nil
}

// chunked is a response with lines, each in a chunk of its own; with end it is complete.
func chunked(end bool, lines ...string) string {
	s := "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
	for _, l := range lines {
		s += chunk(l + "\n")
	}
	if end {
		s += "0\r\n\r\n"
	}
	return s
}

func chunk(text string) string {
	const hex = "0123456789abcdef"
	n, size := len(text), ""
	for ; n > 0; n /= 16 {
		size = string(hex[n%16]) + size
	}
	return size + "\r\n" + text + "\r\n"
}

const doneLine = `{"id":"id","from":"w","state":"done","result":"r"}`

// The coordinator's Begin decides as the first byte is due, however long the dial took: after an error not a byte is
// written.
func TestFirstByteIsGatedByTheCoordinator(t *testing.T) {
	for _, no := range []error{coordinator.ErrRevoked, coordinator.ErrTooLate} {
		got := make(chan int, 1)
		e, _ := testEgress(t, runServer(t, func(c net.Conn) {
			n, _ := c.Read(make([]byte, 100))
			got <- n
		}))
		dial := e.transport("w").DialContext
		allowed := error(nil)
		e.transport("w").DialContext = func(ctx context.Context, network, addr string) (net.Conn, error) {
			c, err := dial(ctx, network, addr)
			allowed = no // while dialing
			return c, err
		}
		end := e.Attempt(context.Background(), &coordinator.Attempt{Target: "w", Deadline: time.Now().Add(time.Minute),
			Begin:   func(time.Time) error { return allowed },
			Request: &coordinator.Request{ID: "id", Method: "POST", Target: "/c", Body: []byte("x")}})
		assert.Equal(t, policy.Moot, end.Outcome, "it never ran: %v", no)
		assert.Zero(t, <-got)
	}
}

// An attempt that times out, or is cancelled, before its request was completely written never ran.
func TestUnsentAtItsDeadlineIsMoot(t *testing.T) {
	for name, cause := range map[string]error{"time": context.DeadlineExceeded, "cancelled": context.Canceled} {
		e, _ := testEgress(t, "127.0.0.1:1")
		ctx, end := context.WithCancelCause(context.Background())
		e.transport("w").DialContext = func(dial context.Context, _, _ string) (net.Conn, error) {
			end(cause)
			<-dial.Done()
			return nil, dial.Err()
		}
		assert.Equal(t, policy.Moot, attemptOnce(ctx, e, nil).Outcome, name)
	}
}

// endless writes a text until the connection breaks.
func endless(text string) func(net.Conn) {
	return func(c net.Conn) {
		for {
			if _, err := io.WriteString(c, text); err != nil {
				return
			}
		}
	}
}

func nothing(net.Conn) {}

// badResponses are responses without a result, and the outcomes of their attempts.
var badResponses = map[string]struct {
	text   string
	then   func(net.Conn) // what the runner does after the text
	want   policy.Outcome
	reused bool // the response is complete, so its connection may stay open
}{
	"failed, complete":       {chunked(true, `{"id":"id","state":"failed"}`), nothing, policy.Failed, true},
	"failed, not ended":      {chunked(false, `{"id":"id","state":"failed"}`), nothing, policy.Failed, false},
	"returned, not ended":    {chunked(false, `{"id":"id","state":"returned"}`), nothing, policy.Full, false},
	"lost, not ended":        {chunked(false, `{"id":"id","state":"lost"}`), nothing, policy.Reset, false},
	"failed and then done":   {chunked(true, `{"id":"id","state":"failed"}`, doneLine), nothing, policy.Failed, true},
	"another id":             {chunked(true, `{"id":"other","state":"done","result":"r"}`), nothing, policy.Failed, false},
	"no id":                  {chunked(true, `{"state":"done","result":"r"}`), nothing, policy.Failed, false},
	"no result":              {chunked(true, `{"id":"id","state":"done"}`), nothing, policy.Failed, false},
	"null for a result":      {chunked(true, `{"id":"id","state":"done","result":null}`), nothing, policy.Failed, false},
	"progress of another":    {chunked(false, `{"id":"other","state":"running"}`), nothing, policy.Failed, false},
	"half a line and end":    {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + chunk(doneLine[:30]) + "0\r\n\r\n", nothing, policy.Reset, false},
	"half a line and closed": {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + chunk(doneLine[:30]), func(c net.Conn) { _ = c.Close() }, policy.Reset, false},
	"no object":              {chunked(true, "nonsense"), nothing, policy.Reset, false},
	"no line":                {chunked(true), nothing, policy.Reset, false},
	"endless line":           {chunked(false), endless(chunk(strings.Repeat("x", 4096))), policy.Reset, false},
	"endless blank lines":    {chunked(false), endless(chunk(strings.Repeat("\n", 4096))), policy.Reset, false},
	"endless progress":       {chunked(false), endless(chunk(`{"id":"id","state":"running"}` + "\n")), policy.Reset, false},
	"endless after failed":   {chunked(false, `{"id":"id","state":"failed"}`), endless(chunk(strings.Repeat(" ", 4096))), policy.Failed, false},
	"endless head":           {"HTTP/1.1 200 OK\r\nX-Pad: ", endless(strings.Repeat("x", 4096)), policy.Reset, false},
	"500, complete":          {"HTTP/1.1 500 No\r\nContent-Length: 2\r\n\r\nno", nothing, policy.Failed, true},
	"500, not ended":         {"HTTP/1.1 500 No\r\nContent-Length: 9\r\n\r\nno", nothing, policy.Failed, false},
	"503, not ended":         {"HTTP/1.1 503 No\r\nX-Not-Processed: 1\r\nContent-Length: 9\r\n\r\nno", nothing, policy.Full, false},
	"503 that may have run":  {"HTTP/1.1 503 No\r\nContent-Length: 0\r\n\r\n", nothing, policy.Failed, true},
}

// Every end of an attempt but a result is returned only once it can have no further effect on an open connection.
// What no runner wrote for this request is no result.
func TestAttemptEndsOnceItsConnectionIsDone(t *testing.T) {
	for name, tt := range badResponses {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			ended := make(chan error, 99)
			runner := runServer(t, func(c net.Conn) {
				defer func() { _ = c.Close() }()
				from := bufio.NewReader(c)
				if !readRequest(from) {
					return
				}
				_, _ = io.WriteString(c, tt.text)
				tt.then(c)
				_, err := from.ReadByte()
				ended <- err
			})
			e, _ := testEgress(t, runner)
			end := attemptOnce(context.Background(), e, []byte("x"))
			assert.Equal(t, tt.want, end.Outcome)
			assert.Empty(t, end.Result)
			assert.False(t, end.Indeterminate, "nothing was read from its connection before")
			if tt.reused { // unless this machine takes longer than endDrainTimeout to read what is there
				for attempts := 0; e.openConns.Load() == 0 && attempts < 20; attempts++ {
					e, _ = testEgress(t, runner)
					require.Equal(t, tt.want, attemptOnce(context.Background(), e, []byte("x")).Outcome)
				}
				assert.Equal(t, int64(1), e.openConns.Load())
				return
			}
			assert.Zero(t, e.openConns.Load(), "the attempt has ended and its connection is open")
			assert.Error(t, <-ended)
		})
	}
}

const rejection = "HTTP/1.1 503 No\r\nX-Not-Processed: 1\r\nContent-Length: 0\r\n\r\n"

// doubleResponder is a runner that writes a rejection after the first response on its first connection.
type doubleResponder struct {
	first string
	delay time.Duration // between the two
	conns atomic.Int64
}

func (d *doubleResponder) serve(c net.Conn) {
	defer func() { _ = c.Close() }()
	from := bufio.NewReader(c)
	if d.conns.Add(1) == 1 { // the others respond once
		if readRequest(from) && d.delay == 0 {
			_, _ = io.WriteString(c, d.first+rejection)
		} else {
			_, _ = io.WriteString(c, d.first)
			time.Sleep(d.delay)
			_, _ = io.WriteString(c, rejection)
		}
	}
	for readRequest(from) { // on the first connection, each gets the response to the one before
		_, _ = io.WriteString(c, chunked(true, doneLine))
	}
}

// A second response on a reused connection is not taken for the response to the next request, whether it arrived
// together with the first or some milliseconds later, before the next request is written: least of all one which says
// that that one never ran.
func TestSecondResponseIsNotTakenForTheNextRequest(t *testing.T) {
	for name, first := range map[string]string{"result": chunked(true, doneLine), "rejected": rejection} {
		for _, delay := range []time.Duration{0, 5 * time.Millisecond, 20 * time.Millisecond} {
			t.Run(name+" and another after "+delay.String(), func(t *testing.T) {
				runner := &doubleResponder{first: first, delay: delay}
				e, _ := testEgress(t, runServer(t, runner.serve))
				_ = attemptOnce(context.Background(), e, nil)
				for range 20 {
					end := attemptOnce(context.Background(), e, nil)
					if end.Outcome == policy.Full { // the machine was so slow that it arrived after the next request
						require.True(t, end.Indeterminate, "the second response to the request before is no proof")
						continue
					}
					require.Equal(t, policy.OK, end.Outcome)
					time.Sleep(3 * time.Millisecond)
				}
			})
		}
	}
}

// What a runner writes on a fresh connection before the request is no response, least of all one which says that the
// request, written right after it, never ran. So the request is not written there.
func TestResponseBeforeTheRequestIsIgnored(t *testing.T) {
	mine, theirs := net.Pipe()
	go func() { _, _ = io.Copy(io.Discard, theirs) }()
	c := &conn{Conn: mine, onClose: func() {}}
	requestNo := c.beginRequest(false, true, func() error { return nil })
	go func() { _, _ = io.WriteString(theirs, "HTTP/1.1 503 No\r\n") }()
	_, err := c.Read(make([]byte, 99))
	require.NoError(t, err)
	_, err = c.Write([]byte("x"))
	assert.ErrorIs(t, err, errStray)
	assert.False(t, c.mayBeResponse())
	assert.True(t, c.abandon(requestNo), "it was never written")
}

// New settings apply to the next attempt: by them reports are read and idle connections kept.
func TestRetune(t *testing.T) {
	var conns atomic.Int64
	e, _ := testEgress(t, runServer(t, func(c net.Conn) {
		defer func() { _ = c.Close() }()
		conns.Add(1)
		for from := bufio.NewReader(c); readRequest(from); {
			_, _ = io.WriteString(c, chunked(true, `{"id":"id","state":"done","result":"r","load":{"x0":3}}`))
		}
	}))
	for range 9 {
		end := attemptOnce(context.Background(), e, nil)
		require.Equal(t, policy.OK, end.Outcome)
		require.Equal(t, 3.0, end.Report.FreeSlots)
	}
	before := conns.Load()
	assert.Less(t, before, int64(9), "connections are reused")
	next := &config.Config{Policy: policy.Settings{ConnectTimeout: time.Second, ConnIdleTimeout: 1}}
	next.Settings.FamilyInfo.ReportX1 = "free slots"
	e.Retune(next)
	for range 9 {
		end := attemptOnce(context.Background(), e, nil)
		require.Equal(t, policy.OK, end.Outcome)
		require.Equal(t, policy.NoReport, end.Report, "x0 has no meaning now")
	}
	assert.Equal(t, before+9, conns.Load(), "no connection may be idle for so short a time")
	assert.Equal(t, time.Second, e.tuned.Load().dialer.Timeout)
}

// The first write on a reused connection waits until its reader waits for bytes, as only that shows that none are
// left; if it never does, or bytes arrived, the request goes to another connection.
func TestReusedConnectionMustBeQuiet(t *testing.T) {
	mine, theirs := net.Pipe()
	go func() { _, _ = io.Copy(io.Discard, theirs) }()
	c := &conn{Conn: mine, onClose: func() {}}
	allow := func() error { return nil }
	requestNo := c.beginRequest(false, true, allow)
	_, err := c.Write([]byte("x"))
	require.NoError(t, err, "a fresh one needs no proof")
	read := time.Now()
	c.lastRead.Store(read.UnixNano())
	c.responseEnded(requestNo)
	c.beginRequest(true, true, allow)
	_, err = c.Write([]byte("x"))
	assert.ErrorIs(t, err, errStray, "no reader waits for bytes")
	assert.GreaterOrEqual(t, time.Since(read), quarantine)
	assert.False(t, c.mayBeResponse())

	c.beginRequest(true, true, allow)
	go func() { _, _ = c.Read(make([]byte, 9)) }()
	_, err = c.Write([]byte("x"))
	assert.NoError(t, err)
	assert.True(t, c.mayBeResponse())
	_, _ = theirs.Write([]byte("answer"))
	requestNo = c.beginRequest(true, true, allow)
	go func() { _, _ = theirs.Write([]byte("stray")) }()
	_, _ = c.Read(make([]byte, 9))
	_, err = c.Write([]byte("x"))
	assert.ErrorIs(t, err, errStray, "bytes before the request")
	assert.True(t, c.abandon(requestNo), "it was never written")
	assert.False(t, c.abandon(requestNo-1), "the request before has another number")
	assert.False(t, isFinal(errStray) || isFinal(errIdleTooLong) || isFinal(nil))
	assert.True(t, isFinal(errNotOpen) && isFinal(errors.Join(coordinator.ErrRevoked)))
}

// A rejection, which has no request's id, is indeterminate if its connection carried a job's response before, and
// certain if it did not, even after a probe.
func TestRejectionOnAReusedConnectionIsIndeterminate(t *testing.T) {
	e, _ := testEgress(t, runServer(t, func(c net.Conn) {
		defer func() { _ = c.Close() }()
		for from := bufio.NewReader(c); readRequest(from); {
			_, _ = io.WriteString(c, "HTTP/1.1 503 No\r\nX-Not-Processed: 1\r\nContent-Length: 0\r\n\r\n")
		}
	}))
	assert.Equal(t, policy.Full, e.Probe(context.Background(), "w").Outcome)
	fresh := attemptOnce(context.Background(), e, nil)
	assert.Equal(t, policy.Full, fresh.Outcome)
	assert.False(t, fresh.Indeterminate)
	assert.Eventually(t, func() bool { // as soon as the connection was used again
		end := attemptOnce(context.Background(), e, nil)
		return end.Outcome == policy.Full && end.Indeterminate
	}, time.Minute, time.Millisecond)
}

// Guards against a target that is given more time than is left: how long the response is waited for is computed when
// the connection is up, not before a dial that takes long.
func TestTimeoutHeaderIsSetAfterTheDial(t *testing.T) {
	const wait, dialing = time.Minute, 300 * time.Millisecond
	timeouts := make(chan time.Duration, 1)
	addr := serveHTTP(t, func(w http.ResponseWriter, r *http.Request) {
		us, err := strconv.ParseInt(strings.TrimSuffix(r.Header.Get("X-Timeout"), "u"), 10, 64)
		assert.NoError(t, err)
		timeouts <- time.Duration(us) * time.Microsecond
		_, _ = io.WriteString(w, `{"id":"id","state":"done","result":"r"}`)
	})
	e, _ := testEgress(t, addr)
	dial := e.transport("w").DialContext
	e.transport("w").DialContext = func(ctx context.Context, network, addr string) (net.Conn, error) {
		time.Sleep(dialing) // the network's delay, not a wait for anything
		return dial(ctx, network, addr)
	}
	deadline := time.Now().Add(wait)
	for range 2 { // on a new connection, and on the reused one
		end := e.Attempt(context.Background(), &coordinator.Attempt{Target: "w", Deadline: deadline, OnProgress: func(policy.EventKind) {},
			Begin: func(time.Time) error { return nil }, Request: &coordinator.Request{ID: "id", Method: "POST", Target: "/c"}})
		require.Equal(t, policy.OK, end.Outcome)
		assert.LessOrEqual(t, <-timeouts, wait-dialing)
	}
}
