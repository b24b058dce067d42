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
	// callTimeout bounds the time to connect to the runner, and the time from a call to its response. A poll may take
	// longer: the delay that it requests is added.
	callTimeout = 800 * time.Millisecond
	// linkBufferBytes is the size in bytes of a link's read buffer.
	linkBufferBytes = 4 << 10
)

// link is one persistent HTTP/1.1 connection to the runner. It carries one call at a time.
//
// All calls on a link reach the same process, as a link never reconnects and never sends a call twice. A call therefore
// can't reach a later incarnation at the same address. After an error the link is closed: the response to the failed call
// may still arrive, and would be read as the response to the next call.
//
// http.Client gives neither guarantee: it reconnects, and it may repeat a request.
type link struct {
	address string
	conn    net.Conn
	reader  *bufio.Reader
	request []byte // the newest request; its memory is reused for the next one
}

// Dial connects to the runner at an ip:port.
type Dial func(ctx context.Context, address string) (net.Conn, error)

// dialTCP is the default Dial.
func dialTCP(ctx context.Context, address string) (net.Conn, error) {
	dialer := net.Dialer{Timeout: callTimeout, KeepAlive: -1}
	return dialer.DialContext(ctx, "tcp", address)
}

// dialLink connects to the runner at address, by TCP if dial is nil. The caller must close the link.
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

// post makes a call and returns the response's status and body. The call may take callTimeout plus extra. After an error it
// is unknown whether the runner has carried out the call, and the link is closed.
func (l *link) post(ctx context.Context, path string, body []byte, extra time.Duration) (status int, response []byte, err error) {
	status, response, last, err := l.exchange(ctx, path, body, extra)
	if err != nil || last {
		l.close() // each later call fails
	}
	return status, response, err
}

// exchange sends a request and reads its response. last reports whether the runner has announced that it closes the
// connection after this response.
func (l *link) exchange(ctx context.Context, path string, body []byte, extra time.Duration) (status int, content []byte, last bool, err error) {
	if l.reader.Buffered() > 0 {
		return 0, nil, false, errors.New("the runner has sent more than one response to the previous call")
	}
	if err := l.conn.SetDeadline(time.Now().Add(callTimeout + extra)); err != nil {
		return 0, nil, false, errors.Wrap(err, "set the deadline of a call to the runner")
	}
	stop := context.AfterFunc(ctx, func() {
		_ = l.conn.SetDeadline(time.Unix(1, 0)) // ends the reads and writes below; an error means that the connection is closed
	})
	defer stop()
	l.request = appendRequest(l.request[:0], l.address, path, body)
	if _, err := l.conn.Write(l.request); err != nil {
		return 0, nil, false, errors.Wrap(err, "send a call to the runner")
	}
	response, err := http.ReadResponse(l.reader, nil)
	if err != nil {
		return 0, nil, false, errors.Wrap(err, "read the runner's response")
	}
	if response.StatusCode < http.StatusOK {
		return 0, nil, false, errors.Errorf("the runner has sent the interim status %d, expected 200 or above", response.StatusCode)
	}
	content, err = readResponseBody(response)
	return response.StatusCode, content, response.Close, err
}

// readResponseBody returns the body of a response. A body of more than maxBodyBytes is an error.
func readResponseBody(response *http.Response) ([]byte, error) {
	body, err := httpjson.ReadAll(io.LimitReader(response.Body, maxBodyBytes+1), response.ContentLength)
	if err != nil {
		return nil, errors.Wrap(err, "read the body of the runner's response")
	}
	if len(body) > maxBodyBytes {
		return nil, errors.Errorf("the body of the runner's response exceeds the limit of %d bytes", maxBodyBytes)
	}
	return body, errors.Wrap(response.Body.Close(), "close the body of the runner's response")
}

// appendRequest appends a complete HTTP/1.1 POST request with a JSON body.
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

// close closes the connection. A call in flight fails. A second close has no effect.
func (l *link) close() {
	_ = l.conn.Close() // an error has no effect: no further response is read from the connection
}
