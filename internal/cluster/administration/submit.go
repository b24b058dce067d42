package administration

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"ospreypond/internal/cluster/failure"
	"ospreypond/internal/cluster/frontend"
	"ospreypond/internal/cluster/protocol"
)

const (
	submitPause = 100 * time.Millisecond // between two tries to hand a job in
	leastWait   = 100 * time.Millisecond // that a try is given
)

// Submit hands a job in to a queue, named HOST/PREFIX, the way a frontend does. Sending it again is safe.
func (c *Client) Submit(ctx context.Context, queue, id string, job *protocol.JobSpec) error {
	document, err := c.document(ctx)
	if err != nil {
		return err
	}
	route, err := findQueue(document, queue)
	if err != nil {
		return err
	}
	body, err := json.Marshal(job)
	if err != nil {
		return err
	}
	following, stop := context.WithCancel(context.Background())
	defer stop()
	process := frontend.NewProcess(frontend.ProcessOptions{Client: c.transport, Addresses: c.addresses, Node: "administration"})
	go process.Run(following)
	return repeat(
		func() error { return handIn(ctx, process, route.Host, route.PathPrefix+id, body) },
		func() bool { return pause(ctx, submitPause) },
	)
}

// repeat tries until the outcome is clear, or pause tells that there is no time for another try. While one try may have
// done something, no later one's refusal is the outcome.
func repeat(try func() error, pause func() bool) error {
	var doubt error
	for {
		err := try()
		if err == nil {
			return nil
		}
		if failure.KindOf(err) == failure.UnknownOutcome {
			doubt = err
		}
		if worthAnother(err) && pause() {
			continue
		}
		if doubt != nil {
			return doubt
		}
		return err
	}
}

// worthAnother tells whether another try may end better.
func worthAnother(err error) bool {
	switch failure.KindOf(err) {
	case failure.UnknownOutcome, failure.Unavailable, failure.NotLeader, failure.Stale, failure.Moved:
		return true
	}
	return false
}

// pause waits; it tells false if ctx ends before.
func pause(ctx context.Context, span time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(span):
		return true
	}
}

// handIn is one try.
func handIn(ctx context.Context, process http.Handler, host, path string, body []byte) error {
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+host+path, bytes.NewReader(body))
	if err != nil {
		return failure.New(failure.Invalid, err.Error())
	}
	if deadline, ok := ctx.Deadline(); ok {
		wait := max(time.Until(deadline), leastWait)
		request.Header.Set(frontend.DeadlineHeader, strconv.FormatInt(wait.Milliseconds(), 10))
	}
	answer := &answer{header: http.Header{}, status: http.StatusOK}
	process.ServeHTTP(answer, request)
	return answer.fault()
}

// answer takes what a handler answers.
type answer struct {
	header http.Header
	status int
	body   bytes.Buffer
}

// Header returns the answer's header.
func (a *answer) Header() http.Header { return a.header }

// WriteHeader takes the status.
func (a *answer) WriteHeader(status int) { a.status = status }

// Write takes a part of the body.
func (a *answer) Write(data []byte) (int, error) { return a.body.Write(data) }

// fault returns the error that the answer tells of, by its kind.
func (a *answer) fault() error {
	if a.status/100 == 2 {
		return nil
	}
	var told struct{ Error, Message string }
	if json.Unmarshal(a.body.Bytes(), &told) != nil || told.Message == "" {
		return failure.Newf(failure.UnknownOutcome, "the answer is %d, %q", a.status, a.body.String())
	}
	for kind := failure.None + 1; kind != 0; kind++ {
		if kind.String() == told.Error {
			return failure.New(kind, withoutKind(told.Message, kind))
		}
	}
	return failure.Newf(failure.UnknownOutcome, "the answer is %d, %s", a.status, told.Message)
}

// withoutKind takes the kind's name off that an error's text begins with.
func withoutKind(message string, kind failure.Kind) string {
	prefix := kind.String() + ": "
	if len(message) > len(prefix) && message[:len(prefix)] == prefix {
		return message[len(prefix):]
	}
	return message
}
