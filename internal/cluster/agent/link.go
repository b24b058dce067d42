package agent

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"ospreypond/internal/cluster/httpjson"
)

const (
	// callTimeout bounds a call to the runner, beyond the time that the runner is asked to wait.
	callTimeout = 800 * time.Millisecond
	// linkBufferBytes is the size of a link's read buffer.
	linkBufferBytes = 4 << 10
)

// link is one persistent HTTP/1.1 connection to the runner, for one call at a time. The process that has answered on it
// before is the one that answers now: a link never reconnects and never sends a call twice, so a call can't reach a later
// incarnation. After an error it is closed, as the response may still come and would be taken for that to the next call.
// That is why http.Client doesn't serve here.
type link struct {
	address string
	conn    net.Conn
	reader  *bufio.Reader
	request []byte // reused by the next request
}

// Dial connects to a runner.
type Dial func(ctx context.Context, address string) (net.Conn, error)

func dialTCP(ctx context.Context, address string) (net.Conn, error) {
	dialer := net.Dialer{Timeout: callTimeout, KeepAlive: -1}
	return dialer.DialContext(ctx, "tcp", address)
}

// dialLink connects to a runner, by TCP if dial is nil. The link must be closed.
func dialLink(ctx context.Context, dial Dial, address string) (*link, error) {
	if dial == nil {
		dial = dialTCP
	}
	conn, err := dial(ctx, address)
	if err != nil {
		return nil, errors.Wrap(err, "connect to the runner")
	}
	return &link{address: address, conn: conn, reader: bufio.NewReaderSize(conn, linkBufferBytes)}, nil
}

// post makes a call that may take callTimeout and extra, and returns its response. After an error it is unknown whether
// the runner has carried out the call, and the link is closed.
func (l *link) post(ctx context.Context, path string, body []byte, extra time.Duration) (status int, response []byte, err error) {
	status, response, last, err := l.exchange(ctx, path, body, extra)
	if err != nil || last {
		l.close() // the next call fails
	}
	return status, response, err
}

// exchange sends a request and reads its response; last reports whether the runner answers nothing more on the link.
func (l *link) exchange(ctx context.Context, path string, body []byte, extra time.Duration) (status int, content []byte, last bool, err error) {
	if l.reader.Buffered() > 0 {
		return 0, nil, false, errors.New("the runner has sent more than one response to a call")
	}
	if err := l.conn.SetDeadline(time.Now().Add(callTimeout + extra)); err != nil {
		return 0, nil, false, errors.Wrap(err, "set a deadline")
	}
	stop := context.AfterFunc(ctx, func() {
		_ = l.conn.SetDeadline(time.Unix(1, 0)) // ends the reads and writes below; a closed connection has ended them
	})
	defer stop()
	l.request = appendRequest(l.request[:0], l.address, path, body)
	if _, err := l.conn.Write(l.request); err != nil {
		return 0, nil, false, errors.Wrap(err, "call the runner")
	}
	response, err := http.ReadResponse(l.reader, nil)
	if err != nil {
		return 0, nil, false, errors.Wrap(err, "read the runner's response")
	}
	if response.StatusCode < http.StatusOK {
		return 0, nil, false, errors.Errorf("the runner has sent the interim status %d", response.StatusCode)
	}
	content, err = readResponseBody(response)
	return response.StatusCode, content, response.Close, err
}

// readResponseBody reads a body of at most maxBodyBytes.
func readResponseBody(response *http.Response) ([]byte, error) {
	body, err := httpjson.ReadAll(io.LimitReader(response.Body, maxBodyBytes+1), response.ContentLength)
	if err != nil {
		return nil, errors.Wrap(err, "read the runner's response")
	}
	if len(body) > maxBodyBytes {
		return nil, errors.Errorf("the runner's response exceeds the limit of %d bytes", maxBodyBytes)
	}
	return body, errors.Wrap(response.Body.Close(), "read the runner's response")
}

// appendRequest appends a complete HTTP/1.1 request.
func appendRequest(request []byte, host, path string, body []byte) []byte {
	request = append(request, "POST "...)
	request = append(request, path...)
	request = append(request, " HTTP/1.1\r\nHost: "...)
	request = append(request, host...)
	request = append(request, "\r\nContent-Type: application/json\r\nContent-Length: "...)
	request = strconv.AppendInt(request, int64(len(body)), 10)
	request = append(request, "\r\n\r\n"...)
	return append(request, body...)
}

// close closes the connection. A call in flight fails. Closing again does nothing.
func (l *link) close() {
	_ = l.conn.Close() // nothing is sent after it that could get lost
}
