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

// chunked returns a chunked response with the given lines, each in its own chunk. Without end its last chunk is missing.
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

// chunk returns text as one chunk of a chunked body.
func chunk(text string) string {
	const hex = "0123456789abcdef"
	n, size := len(text), ""
	for ; n > 0; n /= 16 {
		size = string(hex[n%16]) + size
	}
	return size + "\r\n" + text + "\r\n"
}

const doneLine = `{"id":"id","from":"w","state":"done","result":"r"}`

// The coordinator's Begin is called after the dial, right before the first byte. If it returns an error, no byte is
// written: neither for a revoked attempt nor for a late one.
func TestFirstByteIsGatedByTheCoordinator(t *testing.T) {
	for _, refusal := range []error{coordinator.ErrRevoked, coordinator.ErrTooLate} {
		got := make(chan int, 1)
		e, _ := testEgress(t, runServer(t, func(c net.Conn) {
			n, _ := c.Read(make([]byte, 100))
			got <- n
		}))
		dial := e.transport("w").DialContext
		allowed := error(nil)
		e.transport("w").DialContext = func(ctx context.Context, network, addr string) (net.Conn, error) {
			c, err := dial(ctx, network, addr)
			allowed = refusal // Begin fails from the dial on
			return c, err
		}
		end := e.Attempt(context.Background(), &coordinator.Attempt{Target: "w", Deadline: time.Now().Add(time.Minute),
			Begin:   func(time.Time) error { return allowed },
			Request: &coordinator.Request{ID: "id", Method: "POST", Target: "/c", Body: []byte("x")}})
		assert.Equal(t, policy.Moot, end.Outcome, "it never ran: %v", refusal)
		assert.Zero(t, <-got)
	}
}

// An attempt that times out or is cancelled before its request was completely written never ran, so it ends as moot.
func TestUnsentAtItsDeadlineIsMoot(t *testing.T) {
	for name, cause := range map[string]error{"the deadline passes": context.DeadlineExceeded, "it is cancelled": context.Canceled} {
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

// endless returns a function that writes a text repeatedly until the connection breaks.
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

// badResponses are responses that give the client no result. The keys describe their faults.
var badResponses = map[string]struct {
	text   string
	then   func(net.Conn) // the runner's action after the text
	want   policy.Outcome // of the attempt
	reused bool           // the response is complete, so its connection may stay open
}{
	"a failed line, complete":                       {chunked(true, `{"id":"id","state":"failed"}`), nothing, policy.Failed, true},
	"a failed line, not ended":                      {chunked(false, `{"id":"id","state":"failed"}`), nothing, policy.Failed, false},
	"a returned line, not ended":                    {chunked(false, `{"id":"id","state":"returned"}`), nothing, policy.Full, false},
	"a lost line, not ended":                        {chunked(false, `{"id":"id","state":"lost"}`), nothing, policy.Reset, false},
	"a failed line before a done line":              {chunked(true, `{"id":"id","state":"failed"}`, doneLine), nothing, policy.Failed, true},
	"a done line with another id":                   {chunked(true, `{"id":"other","state":"done","result":"r"}`), nothing, policy.Failed, false},
	"a done line without an id":                     {chunked(true, `{"state":"done","result":"r"}`), nothing, policy.Failed, false},
	"a done line without a result":                  {chunked(true, `{"id":"id","state":"done"}`), nothing, policy.Failed, false},
	"a done line with a null result":                {chunked(true, `{"id":"id","state":"done","result":null}`), nothing, policy.Failed, false},
	"a progress line with another id":               {chunked(false, `{"id":"other","state":"running"}`), nothing, policy.Failed, false},
	"a truncated line in a complete body":           {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + chunk(doneLine[:30]) + "0\r\n\r\n", nothing, policy.Reset, false},
	"a truncated line before the connection closes": {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + chunk(doneLine[:30]), func(c net.Conn) { _ = c.Close() }, policy.Reset, false},
	"a line that is no JSON object":                 {chunked(true, "nonsense"), nothing, policy.Reset, false},
	"a body without a line":                         {chunked(true), nothing, policy.Reset, false},
	"an endless line":                               {chunked(false), endless(chunk(strings.Repeat("x", 4096))), policy.Reset, false},
	"endless blank lines":                           {chunked(false), endless(chunk(strings.Repeat("\n", 4096))), policy.Reset, false},
	"endless progress lines":                        {chunked(false), endless(chunk(`{"id":"id","state":"running"}` + "\n")), policy.Reset, false},
	"endless bytes after a failed line":             {chunked(false, `{"id":"id","state":"failed"}`), endless(chunk(strings.Repeat(" ", 4096))), policy.Failed, false},
	"an endless head":                               {"HTTP/1.1 200 OK\r\nX-Pad: ", endless(strings.Repeat("x", 4096)), policy.Reset, false},
	"a complete 500":                                {"HTTP/1.1 500 No\r\nContent-Length: 2\r\n\r\nno", nothing, policy.Failed, true},
	"a 500, not ended":                              {"HTTP/1.1 500 No\r\nContent-Length: 9\r\n\r\nno", nothing, policy.Failed, false},
	"a 503 not processed, not ended":                {"HTTP/1.1 503 No\r\nX-Not-Processed: 1\r\nContent-Length: 9\r\n\r\nno", nothing, policy.Full, false},
	"a 503 that may have run":                       {"HTTP/1.1 503 No\r\nContent-Length: 0\r\n\r\n", nothing, policy.Failed, true},
}

// An attempt without a result returns only after its response was read to the end or its connection was closed. Only a
// done line with this request's id and a result gives a result.
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
			assert.False(t, end.Indeterminate, "its connection carried no request before")
			if tt.reused { // repeated, as a slow machine may take longer than endDrainTimeout to read the rest
				for attempts := 0; e.openConns.Load() == 0 && attempts < 20; attempts++ {
					e, _ = testEgress(t, runner)
					require.Equal(t, tt.want, attemptOnce(context.Background(), e, []byte("x")).Outcome)
				}
				assert.Equal(t, int64(1), e.openConns.Load())
				return
			}
			assert.Zero(t, e.openConns.Load(), "the attempt has ended and its connection is still open")
			assert.Error(t, <-ended)
		})
	}
}

const rejection = "HTTP/1.1 503 No\r\nX-Not-Processed: 1\r\nContent-Length: 0\r\n\r\n"

// doubleResponder is a runner that writes two responses to the first request on its first connection: first, and then a
// rejection.
type doubleResponder struct {
	first string
	delay time.Duration // between the two responses
	conns atomic.Int64
}

func (d *doubleResponder) serve(c net.Conn) {
	defer func() { _ = c.Close() }()
	from := bufio.NewReader(c)
	if d.conns.Add(1) == 1 { // further connections get one response to each request
		if readRequest(from) && d.delay == 0 {
			_, _ = io.WriteString(c, d.first+rejection)
		} else {
			_, _ = io.WriteString(c, d.first)
			time.Sleep(d.delay)
			_, _ = io.WriteString(c, rejection)
		}
	}
	for readRequest(from) { // on the first connection, the rejection shifts responses by one request
		_, _ = io.WriteString(c, chunked(true, doneLine))
	}
}

// A second response to a request is not taken for the response to the next request on the connection, whether it arrives
// together with the first response or some milliseconds later. The worst case is a second response that says "not
// processed": the dispatcher would then treat the next request as never run although it ran.
func TestSecondResponseIsNotTakenForTheNextRequest(t *testing.T) {
	for name, first := range map[string]string{"a result": chunked(true, doneLine), "a rejection": rejection} {
		for _, delay := range []time.Duration{0, 5 * time.Millisecond, 20 * time.Millisecond} {
			t.Run(name+" and a rejection after "+delay.String(), func(t *testing.T) {
				runner := &doubleResponder{first: first, delay: delay}
				e, _ := testEgress(t, runServer(t, runner.serve))
				_ = attemptOnce(context.Background(), e, nil)
				for range 20 {
					end := attemptOnce(context.Background(), e, nil)
					if end.Outcome == policy.Full { // on a slow machine the rejection arrives after the next request was written
						require.True(t, end.Indeterminate, "a rejection does not prove that this request never ran")
						continue
					}
					require.Equal(t, policy.OK, end.Outcome)
					time.Sleep(3 * time.Millisecond)
				}
			})
		}
	}
}

// Bytes that a runner writes on a new connection before the request are no response to it. If they were a rejection,
// the dispatcher would treat the request written right after them as never run. So the request is not written to this
// connection.
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

// New settings apply from the next attempt on: to the reading of load reports and to how long idle connections are kept.
func TestUpdateSettings(t *testing.T) {
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
	e.UpdateSettings(next)
	for range 9 {
		end := attemptOnce(context.Background(), e, nil)
		require.Equal(t, policy.OK, end.Outcome)
		require.Equal(t, policy.NoReport, end.Report, "the new settings assign no field to x0")
	}
	assert.Equal(t, before+9, conns.Load(), "with a limit of 1 ns no connection is reused")
	assert.Equal(t, time.Second, e.active.Load().dialer.Timeout)
}

// The first write on a reused connection waits until a reader waits for bytes on it, which shows that none of the previous
// response are left. If no reader does, or bytes arrived, the request is not written to this connection.
func TestReusedConnectionMustBeQuiet(t *testing.T) {
	mine, theirs := net.Pipe()
	go func() { _, _ = io.Copy(io.Discard, theirs) }()
	c := &conn{Conn: mine, onClose: func() {}}
	allow := func() error { return nil }
	requestNo := c.beginRequest(false, true, allow)
	_, err := c.Write([]byte("x"))
	require.NoError(t, err, "a new connection needs no reader")
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
	assert.ErrorIs(t, err, errStray, "bytes arrived before the request")
	assert.True(t, c.abandon(requestNo), "it was never written")
	assert.False(t, c.abandon(requestNo-1), "the number is of the request before")
	assert.False(t, isFinal(errStray) || isFinal(errIdleTooLong) || isFinal(nil))
	assert.True(t, isFinal(errNotOpen) && isFinal(errors.Join(coordinator.ErrRevoked)))
}

// A rejection names no request. If its connection carried a job before, it may be a late second response to that job, so
// the end is marked as indeterminate. On a new connection, or after a probe only, it is not.
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
	assert.Eventually(t, func() bool { // as soon as a connection is reused
		end := attemptOnce(context.Background(), e, nil)
		return end.Outcome == policy.Full && end.Indeterminate
	}, time.Minute, time.Millisecond)
}

// X-Timeout is computed after the dial. If it were computed before, a slow dial would make the target believe that it has
// more time than is left.
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
		time.Sleep(dialing) // the simulated delay of the network
		return dial(ctx, network, addr)
	}
	deadline := time.Now().Add(wait)
	for range 2 { // the second attempt may reuse the connection
		end := e.Attempt(context.Background(), &coordinator.Attempt{Target: "w", Deadline: deadline, OnProgress: func(policy.EventKind) {},
			Begin: func(time.Time) error { return nil }, Request: &coordinator.Request{ID: "id", Method: "POST", Target: "/c"}})
		require.Equal(t, policy.OK, end.Outcome)
		assert.LessOrEqual(t, <-timeouts, wait-dialing)
	}
}
