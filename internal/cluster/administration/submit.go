package administration

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"ospreypond/internal/cluster/failure"
	"ospreypond/internal/cluster/frontend"
	"ospreypond/internal/cluster/protocol"
)

const (
	submitRetryInterval = 100 * time.Millisecond
	minAttemptTimeout   = 100 * time.Millisecond // for an attempt that starts close to the deadline
)

// Submit submits a job to a queue, given as HOST/PREFIX. It runs a frontend in this process for that, so the job passes the
// checks and retries of a frontend. The same job may be submitted again: it is accepted once.
func (c *Client) Submit(ctx context.Context, queue, id string, job *protocol.JobSpec) error {
	document, err := c.readDocument(ctx)
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
	process := frontend.NewProcess(frontend.ProcessOptions{Client: c.transport, Addresses: c.addresses, Node: "administration"})
	// The frontend must know the shards' owners until the last attempt has returned, which may be after ctx has ended.
	following, stop := context.WithCancel(context.WithoutCancel(ctx))
	var frontends sync.WaitGroup
	defer frontends.Wait()
	defer stop()
	frontends.Go(func() { process.Run(following) })
	return retryUntilDecided(
		func() error { return submitOnce(ctx, process, route.Host, route.PathPrefix+id, body) },
		func() bool { return sleep(ctx, submitRetryInterval) },
	)
}

// retryUntilDecided repeats attempt until it succeeds, fails with an error that no other attempt can change, or wait reports
// that there is no time for another attempt.
//
// After an attempt with an unknown outcome, a later rejection must not be returned as the outcome of the call: the earlier
// attempt may have been accepted. Only an acceptance is. This differs from an operator's change of the configuration
// (package control): that is rejected by the shard's state machine, which knows whether an earlier attempt was accepted.
func retryUntilDecided(attempt func() error, wait func() bool) error {
	var unknown error
	for {
		err := attempt()
		if err == nil {
			return nil
		}
		if failure.KindOf(err) == failure.UnknownOutcome {
			unknown = err
		}
		if retryable(err) && wait() {
			continue
		}
		if unknown != nil {
			return unknown
		}
		return err
	}
}

// retryable reports whether another attempt may succeed after this error.
func retryable(err error) bool {
	switch failure.KindOf(err) {
	case failure.UnknownOutcome, failure.Unavailable, failure.NotLeader, failure.Stale, failure.Moved:
		return true
	}
	return false
}

// sleep waits for span. It reports whether ctx is still active then; it returns false as soon as ctx ends.
func sleep(ctx context.Context, span time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(span):
		return true
	}
}

// submitOnce makes one attempt to submit a job: a POST request that frontendHandler serves.
func submitOnce(ctx context.Context, frontendHandler http.Handler, host, path string, body []byte) error {
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+host+path, bytes.NewReader(body))
	if err != nil {
		return failure.New(failure.Invalid, err.Error())
	}
	if deadline, ok := ctx.Deadline(); ok {
		timeout := max(time.Until(deadline), minAttemptTimeout)
		request.Header.Set(frontend.DeadlineHeader, strconv.FormatInt(timeout.Milliseconds(), 10))
	}
	recorder := &responseRecorder{header: http.Header{}, status: http.StatusOK}
	frontendHandler.ServeHTTP(recorder, request)
	return recorder.err()
}

// responseRecorder is an http.ResponseWriter that stores the response.
type responseRecorder struct {
	header http.Header
	status int
	body   bytes.Buffer
}

// Header returns the response's header.
func (r *responseRecorder) Header() http.Header { return r.header }

// WriteHeader sets the status.
func (r *responseRecorder) WriteHeader(status int) { r.status = status }

// Write appends to the body.
func (r *responseRecorder) Write(data []byte) (int, error) { return r.body.Write(data) }

// err returns the error in the response's body with its kind, or nil if the status is 2xx. A body without a known kind
// leaves the outcome unknown.
func (r *responseRecorder) err() error {
	if r.status/100 == 2 {
		return nil
	}
	var reported struct{ Error, Message string }
	if json.Unmarshal(r.body.Bytes(), &reported) != nil || reported.Message == "" {
		return failure.Newf(failure.UnknownOutcome, "the frontend's response has status %d and no error message: %q", r.status, r.body.String())
	}
	for kind := failure.None + 1; kind != 0; kind++ {
		if kind.String() == reported.Error {
			return failure.New(kind, withoutKind(reported.Message, kind))
		}
	}
	return failure.Newf(failure.UnknownOutcome, "the frontend's response has status %d and an unknown kind of error: %s", r.status, reported.Message)
}

// withoutKind returns an error's text without the name of its kind, if it begins with that.
func withoutKind(message string, kind failure.Kind) string {
	rest, found := strings.CutPrefix(message, kind.String()+": ")
	if !found || rest == "" {
		return message
	}
	return rest
}
