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
)

// Times of calls to the runner.
const (
	// callTime is the longest that a call takes, beyond what the runner is asked to wait.
	callTime = 800 * time.Millisecond
	// linkBytes is the room for reading on a link.
	linkBytes = 4 << 10
)

// link is one kept connection to the runner, for one call at a time. What has answered on it before is what answers now:
// it never connects again and never sends anything twice by itself, so that a call can't reach a later incarnation. After
// an error it is of no use, as the answer may still come and would be taken for that to the next call.
type link struct {
	address string
	conn    net.Conn
	reader  *bufio.Reader
	request []byte // kept for its room
}

// Dial connects to a runner.
type Dial func(ctx context.Context, address string) (net.Conn, error)

// dialTCP connects to a runner by TCP.
func dialTCP(ctx context.Context, address string) (net.Conn, error) {
	dialer := net.Dialer{Timeout: callTime, KeepAlive: -1}
	return dialer.DialContext(ctx, "tcp", address)
}

// dialLink connects to a runner; a nil dial does so by TCP.
func dialLink(ctx context.Context, dial Dial, address string) (*link, error) {
	if dial == nil {
		dial = dialTCP
	}
	conn, err := dial(ctx, address)
	if err != nil {
		return nil, errors.Wrap(err, "connect to the runner")
	}
	return &link{address: address, conn: conn, reader: bufio.NewReaderSize(conn, linkBytes)}, nil
}

// post makes a call that may take callTime and extra, and returns its answer. An error leaves open whether the call was
// carried out, and ends the link.
func (l *link) post(ctx context.Context, path string, body []byte, extra time.Duration) (status int, answer []byte, err error) {
	status, answer, last, err := l.exchange(ctx, path, body, extra)
	if err != nil || last {
		l.close() // the next call says so
	}
	return status, answer, err
}

// exchange sends a request and reads its answer; last tells that the runner answers nothing more on the link.
func (l *link) exchange(ctx context.Context, path string, body []byte, extra time.Duration) (status int, answer []byte, last bool, err error) {
	if l.reader.Buffered() > 0 {
		return 0, nil, false, errors.New("the runner has sent more than one answer to a call")
	}
	if err := l.conn.SetDeadline(time.Now().Add(callTime + extra)); err != nil {
		return 0, nil, false, errors.Wrap(err, "set a deadline")
	}
	stop := context.AfterFunc(ctx, func() { l.conn.SetDeadline(time.Unix(1, 0)) })
	defer stop()
	l.request = appendRequest(l.request[:0], l.address, path, body)
	if _, err := l.conn.Write(l.request); err != nil {
		return 0, nil, false, errors.Wrap(err, "call the runner")
	}
	response, err := http.ReadResponse(l.reader, nil)
	if err != nil {
		return 0, nil, false, errors.Wrap(err, "read the runner's answer")
	}
	if response.StatusCode < http.StatusOK {
		return 0, nil, false, errors.Errorf("the runner answers with %d before the answer", response.StatusCode)
	}
	answer, err = readAnswer(response)
	return response.StatusCode, answer, response.Close, err
}

// readAnswer reads an answer's body within its bound.
func readAnswer(response *http.Response) ([]byte, error) {
	answer, err := readAll(io.LimitReader(response.Body, maxBodyBytes+1), response.ContentLength)
	if err != nil {
		return nil, errors.Wrap(err, "read the runner's answer")
	}
	if len(answer) > maxBodyBytes {
		return nil, errors.Errorf("the runner's answer has more than %d bytes", maxBodyBytes)
	}
	return answer, errors.Wrap(response.Body.Close(), "read the runner's answer")
}

// appendRequest appends a whole HTTP/1.1 request.
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

func (l *link) close() { l.conn.Close() }
