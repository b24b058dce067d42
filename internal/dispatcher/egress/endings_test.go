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

// taken reads one request whole, as a runner does before it starts.
func taken(from *bufio.Reader) bool {
	req, err := http.ReadRequest(from)
	if err != nil {
		return false
	}
	_, err = io.Copy(io.Discard, req.Body)
	return err == nil
}

// chunked is an answer's head with lines, each in a chunk of its own; end has the chunk that ends it too.
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

// What the coordinator says as the first byte is due holds however long the dial took: not a byte goes out.
func TestFirstByteAsksTheExchange(t *testing.T) {
	for _, no := range []error{coordinator.ErrRevoked, coordinator.ErrTooLate} {
		got := make(chan int, 1)
		e, _ := testEgress(t, serve(t, func(c net.Conn) {
			n, _ := c.Read(make([]byte, 100))
			got <- n
		}))
		dial := e.transport("w").DialContext
		allowed := error(nil)
		e.transport("w").DialContext = func(ctx context.Context, network, addr string) (net.Conn, error) {
			c, err := dial(ctx, network, addr)
			allowed = no // while it was being dialled
			return c, err
		}
		end := e.Attempt(context.Background(), &coordinator.Attempt{Target: "w", Deadline: time.Now().Add(time.Minute),
			Begin:   func(time.Time) error { return allowed },
			Request: &coordinator.Request{ID: "id", Method: "POST", Target: "/c", Body: []byte("x")}})
		assert.Equal(t, policy.Moot, end.Outcome, "it never ran: %v", no)
		assert.Zero(t, <-got)
	}
}

// An attempt whose time ran out, or that was called off, before its request was whole on the wire never ran.
func TestUnsentWhenItsTimeIsOverIsMoot(t *testing.T) {
	for name, cause := range map[string]error{"time": context.DeadlineExceeded, "called off": context.Canceled} {
		e, _ := testEgress(t, "127.0.0.1:1")
		ctx, end := context.WithCancelCause(context.Background())
		e.transport("w").DialContext = func(dial context.Context, _, _ string) (net.Conn, error) {
			end(cause)
			<-dial.Done()
			return nil, dial.Err()
		}
		assert.Equal(t, policy.Moot, attempt(ctx, e, nil).Outcome, name)
	}
}

// Every end of an attempt but a result is told only once nothing of it is left on an open connection. What no runner
// made for this request is no result.
func TestEndsAreToldWhenNothingIsLeft(t *testing.T) {
	endless := func(text string) func(net.Conn) {
		return func(c net.Conn) {
			for {
				if _, err := io.WriteString(c, text); err != nil {
					return
				}
			}
		}
	}
	stays := func(net.Conn) {}
	for name, tt := range map[string]struct {
		text string
		then func(net.Conn)
		want policy.Outcome
		kept bool // the answer is whole, so its connection may stay
	}{
		"failed, whole":         {chunked(true, `{"id":"id","state":"failed"}`), stays, policy.Failed, true},
		"failed, not ended":     {chunked(false, `{"id":"id","state":"failed"}`), stays, policy.Failed, false},
		"returned, not ended":   {chunked(false, `{"id":"id","state":"returned"}`), stays, policy.Full, false},
		"lost, not ended":       {chunked(false, `{"id":"id","state":"lost"}`), stays, policy.Reset, false},
		"failed and then done":  {chunked(true, `{"id":"id","state":"failed"}`, doneLine), stays, policy.Failed, true},
		"another id":            {chunked(true, `{"id":"other","state":"done","result":"r"}`), stays, policy.Failed, false},
		"no id":                 {chunked(true, `{"state":"done","result":"r"}`), stays, policy.Failed, false},
		"no result":             {chunked(true, `{"id":"id","state":"done"}`), stays, policy.Failed, false},
		"null for a result":     {chunked(true, `{"id":"id","state":"done","result":null}`), stays, policy.Failed, false},
		"progress of another":   {chunked(false, `{"id":"other","state":"running"}`), stays, policy.Failed, false},
		"half a line and end":   {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + chunk(doneLine[:30]) + "0\r\n\r\n", stays, policy.Reset, false},
		"half a line and cut":   {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + chunk(doneLine[:30]), func(c net.Conn) { _ = c.Close() }, policy.Reset, false},
		"no object":             {chunked(true, "nonsense"), stays, policy.Reset, false},
		"no line":               {chunked(true), stays, policy.Reset, false},
		"endless line":          {chunked(false), endless(chunk(strings.Repeat("x", 4096))), policy.Reset, false},
		"endless blank lines":   {chunked(false), endless(chunk(strings.Repeat("\n", 4096))), policy.Reset, false},
		"endless progress":      {chunked(false), endless(chunk(`{"id":"id","state":"running"}` + "\n")), policy.Reset, false},
		"endless after failed":  {chunked(false, `{"id":"id","state":"failed"}`), endless(chunk(strings.Repeat(" ", 4096))), policy.Failed, false},
		"endless head":          {"HTTP/1.1 200 OK\r\nX-Pad: ", endless(strings.Repeat("x", 4096)), policy.Reset, false},
		"500, whole":            {"HTTP/1.1 500 No\r\nContent-Length: 2\r\n\r\nno", stays, policy.Failed, true},
		"500, not ended":        {"HTTP/1.1 500 No\r\nContent-Length: 9\r\n\r\nno", stays, policy.Failed, false},
		"503, not ended":        {"HTTP/1.1 503 No\r\nX-Not-Processed: 1\r\nContent-Length: 9\r\n\r\nno", stays, policy.Full, false},
		"503 that may have run": {"HTTP/1.1 503 No\r\nContent-Length: 0\r\n\r\n", stays, policy.Failed, true},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			gone := make(chan error, 99)
			runner := serve(t, func(c net.Conn) {
				defer c.Close()
				from := bufio.NewReader(c)
				if !taken(from) {
					return
				}
				_, _ = io.WriteString(c, tt.text)
				tt.then(c)
				_, err := from.ReadByte()
				gone <- err
			})
			e, _ := testEgress(t, runner)
			end := attempt(context.Background(), e, []byte("x"))
			assert.Equal(t, tt.want, end.Outcome)
			assert.Empty(t, end.Result)
			assert.False(t, end.Indeterminate, "nothing came on its connection before")
			if tt.kept { // unless this machine takes longer than settleLimit to read what is there
				for tries := 0; e.open.Load() == 0 && tries < 20; tries++ {
					e, _ = testEgress(t, runner)
					require.Equal(t, tt.want, attempt(context.Background(), e, []byte("x")).Outcome)
				}
				assert.Equal(t, int64(1), e.open.Load())
				return
			}
			assert.Zero(t, e.open.Load(), "the attempt is told as over and its connection is open")
			assert.Error(t, <-gone)
		})
	}
}

// A second answer on a kept connection is not taken for the answer to the next request on it, whether it came in the same
// breath as the first one or some milliseconds late, before the next request is written: least of all one that says that
// that one never ran.
func TestSecondAnswerIsNoAnswerToTheNext(t *testing.T) {
	const second = "HTTP/1.1 503 No\r\nX-Not-Processed: 1\r\nContent-Length: 0\r\n\r\n"
	for name, late := range map[string]time.Duration{"at once": 0, "5 ms late": 5 * time.Millisecond, "20 ms late": 20 * time.Millisecond} {
		for head, first := range map[string]string{"result": chunked(true, doneLine),
			"turned away": "HTTP/1.1 503 No\r\nX-Not-Processed: 1\r\nContent-Length: 0\r\n\r\n"} {
			t.Run(head+" "+name, func(t *testing.T) {
				var conns atomic.Int64
				e, _ := testEgress(t, serve(t, func(c net.Conn) {
					defer c.Close()
					from := bufio.NewReader(c)
					if conns.Add(1) > 1 { // those after the first are sound
						for taken(from) {
							_, _ = io.WriteString(c, chunked(true, doneLine))
						}
						return
					}
					if taken(from) && late == 0 {
						_, _ = io.WriteString(c, first+second)
					} else {
						_, _ = io.WriteString(c, first)
						time.Sleep(late)
						_, _ = io.WriteString(c, second)
					}
					for taken(from) { // whoever asks here gets the answers of those before
						_, _ = io.WriteString(c, chunked(true, doneLine))
					}
				}))
				_ = attempt(context.Background(), e, nil)
				for range 20 {
					end := attempt(context.Background(), e, nil)
					if end.Outcome == policy.Full { // the machine was so slow that it came after the next request
						require.True(t, end.Indeterminate, "the second answer to the request before is no proof")
						continue
					}
					require.Equal(t, policy.OK, end.Outcome)
					time.Sleep(3 * time.Millisecond)
				}
			})
		}
	}
}

// What a runner says on a fresh connection before it was asked is no answer: least of all one by which the request, which
// would go out right after it, never ran. So that is not written there.
func TestAnswerBeforeTheRequestIsNone(t *testing.T) {
	mine, theirs := net.Pipe()
	go func() { _, _ = io.Copy(io.Discard, theirs) }()
	c := &conn{Conn: mine, closed: func() {}}
	turn := c.begin(false, true, func() error { return nil })
	go func() { _, _ = io.WriteString(theirs, "HTTP/1.1 503 No\r\n") }()
	_, err := c.Read(make([]byte, 99))
	require.NoError(t, err)
	_, err = c.Write([]byte("x"))
	assert.ErrorIs(t, err, errStray)
	assert.False(t, c.answers())
	assert.True(t, c.abandon(turn), "it was never written")
}

// Settings that are taken while the program runs hold for the next attempt: reports are read and kept connections used by them.
func TestRetune(t *testing.T) {
	var conns atomic.Int64
	e, _ := testEgress(t, serve(t, func(c net.Conn) {
		defer c.Close()
		conns.Add(1)
		for from := bufio.NewReader(c); taken(from); {
			_, _ = io.WriteString(c, chunked(true, `{"id":"id","state":"done","result":"r","load":{"x0":3}}`))
		}
	}))
	for range 9 {
		end := attempt(context.Background(), e, nil)
		require.Equal(t, policy.OK, end.Outcome)
		require.Equal(t, 3.0, end.Report.FreeSlots)
	}
	kept := conns.Load()
	assert.Less(t, kept, int64(9), "connections are kept")
	next := &config.Config{Policy: policy.Settings{ConnectTimeout: time.Second, ConnIdle: 1}}
	next.Settings.FamilyInfo.ReportX1 = "free slots"
	e.Retune(next)
	for range 9 {
		end := attempt(context.Background(), e, nil)
		require.Equal(t, policy.OK, end.Outcome)
		require.Equal(t, policy.NoReport, end.Report, "x0 means nothing now")
	}
	assert.Equal(t, kept+9, conns.Load(), "no connection is kept for so short a time")
	assert.Equal(t, time.Second, e.tuned.Load().dialer.Timeout)
}

// The first write on a kept connection waits until its reader waits for bytes, as only that shows that none are left
// over; where it never does, or bytes came, the request goes elsewhere.
func TestKeptConnectionMustBeQuiet(t *testing.T) {
	mine, theirs := net.Pipe()
	go func() { _, _ = io.Copy(io.Discard, theirs) }()
	c := &conn{Conn: mine, closed: func() {}}
	allow := func() error { return nil }
	turn := c.begin(false, true, allow)
	_, err := c.Write([]byte("x"))
	require.NoError(t, err, "a fresh one needs no proof")
	came := time.Now()
	c.lastRead.Store(came.UnixNano())
	c.answerEnded(turn)
	c.begin(true, true, allow)
	_, err = c.Write([]byte("x"))
	assert.ErrorIs(t, err, errStray, "nobody waits for bytes")
	assert.GreaterOrEqual(t, time.Since(came), quarantine)
	assert.False(t, c.answers())

	c.begin(true, true, allow)
	go func() { _, _ = c.Read(make([]byte, 9)) }()
	_, err = c.Write([]byte("x"))
	assert.NoError(t, err)
	assert.True(t, c.answers())
	_, _ = theirs.Write([]byte("answer"))
	turn = c.begin(true, true, allow)
	go func() { _, _ = theirs.Write([]byte("stray")) }()
	_, _ = c.Read(make([]byte, 9))
	_, err = c.Write([]byte("x"))
	assert.ErrorIs(t, err, errStray, "bytes before the request")
	assert.True(t, c.abandon(turn), "it was never written")
	assert.False(t, c.abandon(turn-1), "the one before is not this call's to speak of")
	assert.False(t, final(errStray) || final(errTooOld) || final(nil))
	assert.True(t, final(errNotOpen) && final(errors.Join(coordinator.ErrRevoked)))
}

// A refusal that names no request is doubtful where its connection brought a job's answer before, and certain where it
// did not, though it brought a probe's.
func TestRefusalOnAKeptConnectionIsDoubtful(t *testing.T) {
	e, _ := testEgress(t, serve(t, func(c net.Conn) {
		defer c.Close()
		for from := bufio.NewReader(c); taken(from); {
			_, _ = io.WriteString(c, "HTTP/1.1 503 No\r\nX-Not-Processed: 1\r\nContent-Length: 0\r\n\r\n")
		}
	}))
	assert.Equal(t, policy.Full, e.Probe(context.Background(), "w").Outcome)
	fresh := attempt(context.Background(), e, nil)
	assert.Equal(t, policy.Full, fresh.Outcome)
	assert.False(t, fresh.Indeterminate)
	assert.Eventually(t, func() bool { // as soon as the connection was used again
		end := attempt(context.Background(), e, nil)
		return end.Outcome == policy.Full && end.Indeterminate
	}, time.Minute, time.Millisecond)
}

// Guards against a target that is told of more time than is left: how long the answer is waited for is read when the
// connection is there, not before a dial that takes long.
func TestTimeLeftIsToldAfterTheDial(t *testing.T) {
	const wait, dialing = time.Minute, 300 * time.Millisecond
	told := make(chan time.Duration, 1)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	srv := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		us, err := strconv.ParseInt(strings.TrimSuffix(r.Header.Get("X-Timeout"), "u"), 10, 64)
		assert.NoError(t, err)
		told <- time.Duration(us) * time.Microsecond
		_, _ = io.WriteString(w, `{"id":"id","state":"done","result":"r"}`)
	})}
	defer srv.Close()
	go func() { _ = srv.Serve(l) }()
	e, _ := testEgress(t, l.Addr().String())
	dial := e.transport("w").DialContext
	e.transport("w").DialContext = func(ctx context.Context, network, addr string) (net.Conn, error) {
		time.Sleep(dialing) // the network's delay; nothing waits for it
		return dial(ctx, network, addr)
	}
	deadline := time.Now().Add(wait)
	for range 2 { // on a new connection, and on the kept one
		end := e.Attempt(context.Background(), &coordinator.Attempt{Target: "w", Deadline: deadline, OnProgress: func(policy.EventKind) {},
			Begin: func(time.Time) error { return nil }, Request: &coordinator.Request{ID: "id", Method: "POST", Target: "/c"}})
		require.Equal(t, policy.OK, end.Outcome)
		assert.LessOrEqual(t, <-told, wait-dialing)
	}
}
