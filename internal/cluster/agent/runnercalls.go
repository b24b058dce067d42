package agent

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"ospreypond/internal/cluster/protocol"
)

// Paths of the calls to a runner. The paths, and the names of the JSON fields of the calls and their responses, belong to
// the protocol of runners and must not change.
const (
	pathStart = "/v1/run-start"
	pathStop  = "/v1/run-stop"
	pathLease = "/v1/hold" // a poll, which also renews the lease
)

// callParameters are the fields that calls to a runner have in common. Starts have no lastSeen; stops have the fencing token
// only.
type callParameters struct {
	deadlineMs int64  // end of the lease, in ms on the runner's clock; 0: no lease
	fenceToken uint64 // fencing token of the newest owner; 0: none is known yet
	lastSeen   uint64 // the owner has recorded the ends up to this FinishedRun.N, so the runner need not list them again
}

// pollResponse is a runner's response to a poll.
type pollResponse struct {
	clockMs  int64 // the runner's clock when it composed the response, in ms
	active   []protocol.ActiveRun
	finished []protocol.FinishedRun
}

// rejectedError is the error of a call that the runner has refused (status 409). The call has had no effect.
type rejectedError struct{ reason string }

// Error returns the runner's reason with a prefix.
func (e *rejectedError) Error() string { return "the runner has rejected the call: " + e.reason }

// reasonFence is a runner's reason to refuse a call: its fencing token is lower than the highest that the runner has
// seen.
const reasonFence = "fence"

// poll renews the lease and asks which runs the runner has. The runner may delay its response for up to wait, until a run
// ends.
func (l *link) poll(ctx context.Context, parameters callParameters, wait time.Duration) (*pollResponse, error) {
	body := append(make([]byte, 0, 128), '{')
	body = appendInt(body, "deadlineMs", parameters.deadlineMs)
	body = appendInt(append(body, ','), "fenceToken", int64(parameters.fenceToken))
	body = appendInt(append(body, ','), "lastSeen", int64(parameters.lastSeen))
	body = appendInt(append(body, ','), "wait_ms", wait.Milliseconds())
	status, response, err := l.post(ctx, pathLease, append(body, '}'), wait)
	if err != nil {
		return nil, err
	}
	if status == http.StatusConflict {
		rejection, _ := parseOrderResponse(string(response)) // a body that can't be parsed leaves the reason empty
		return nil, &rejectedError{rejection.reason}
	}
	if status != http.StatusOK {
		return nil, errors.Errorf("the runner responds to a poll with status %d, expected 200 or 409: %.200s", status, response)
	}
	return parsePollResponse(string(response))
}

// parsePollResponse decodes the JSON body of the response to a poll.
func parsePollResponse(body string) (*pollResponse, error) {
	response := new(pollResponse)
	r := &jsonReader{text: body}
	if r.peek() != '{' {
		return nil, errors.New("the runner's response to a poll is not a JSON object")
	}
	r.object(func(name string) {
		switch name {
		case "clockMs":
			response.clockMs = r.int()
		case "active":
			r.array(func(int) { response.active = append(response.active, readActive(r)) })
		case "finished":
			r.array(func(int) { response.finished = append(response.finished, readFinished(r)) })
		default:
			r.skip()
		}
	})
	return response, errors.Wrap(r.end(), "parse the runner's response to a poll")
}

// start calls the runner to start a run, and returns the runner's clock in ms. After a *rejectedError the runner has not
// started the run. After any other error it may have.
func (l *link) start(ctx context.Context, parameters callParameters, order *protocol.StartOrder) (clockMs int64, err error) {
	body := appendOrder(make([]byte, 0, 256+len(order.Spec)), order.Task, order.Run)
	body = appendText(appendKey(append(body, ','), "spec"), order.Spec)
	body = appendInt(append(body, ','), "deadlineMs", parameters.deadlineMs)
	body = appendInt(append(body, ','), "fenceToken", int64(parameters.fenceToken))
	if order.Saved != "" {
		body = appendText(appendKey(append(body, ','), "checkpointed"), order.Saved)
	}
	status, content, err := l.post(ctx, pathStart, append(body, '}'), 0)
	if err != nil {
		return 0, err
	}
	response, err := parseOrderResponse(string(content))
	switch {
	case status == http.StatusConflict:
		return response.clockMs, &rejectedError{response.reason}
	case status != http.StatusOK:
		return 0, errors.Errorf("the runner responds to a start with status %d, expected 200 or 409: %.200s", status, content)
	}
	return response.clockMs, err
}

// orderResponse is a runner's response to a start or a stop.
type orderResponse struct {
	clockMs int64  // the runner's clock when it composed the response, in ms
	reason  string // why the runner has refused the call; empty: it has not
}

// parseOrderResponse decodes the JSON body of the response to a start or a stop.
func parseOrderResponse(body string) (orderResponse, error) {
	var response orderResponse
	r := &jsonReader{text: body}
	r.object(func(name string) {
		switch name {
		case "clockMs":
			response.clockMs = r.int()
		case "why":
			response.reason = r.string()
		default:
			r.skip()
		}
	})
	return response, errors.Wrap(r.end(), "parse the runner's response")
}

// stop calls the runner to stop a run, and returns the runner's clock in ms. After a stop the runner refuses each start of
// that run, also if the run doesn't exist there yet.
func (l *link) stop(ctx context.Context, parameters callParameters, run runName) (clockMs int64, err error) {
	body := appendOrder(make([]byte, 0, 128), run.task, run.run)
	body = appendInt(append(body, ','), "fenceToken", int64(parameters.fenceToken))
	status, content, err := l.post(ctx, pathStop, append(body, '}'), 0)
	if err != nil {
		return 0, err
	}
	if status != http.StatusOK {
		return 0, errors.Errorf("the runner responds to a stop with status %d, expected 200: %.200s", status, content)
	}
	response, err := parseOrderResponse(string(content))
	return response.clockMs, err
}

// appendOrder appends the beginning of a call's JSON body, with the fields that identify the run.
func appendOrder(body []byte, task string, run uint64) []byte {
	body = appendText(appendKey(append(body, '{'), "task"), task)
	return strconv.AppendUint(appendKey(append(body, ','), "runId"), run, 10)
}

// appendKey appends a field's name and a colon.
func appendKey(body []byte, name string) []byte {
	body = append(body, '"')
	body = append(body, name...)
	return append(body, '"', ':')
}

// appendInt appends a field with an integer.
func appendInt(body []byte, name string, value int64) []byte {
	return strconv.AppendInt(appendKey(body, name), value, 10)
}
