package agent

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"ospreypond/internal/cluster/protocol"
)

// Paths at a runner that is called. Their names and the fields below are the runners' protocol.
const (
	pathStart = "/v1/run-start"
	pathStop  = "/v1/run-stop"
	pathLease = "/v1/hold"
)

// orderTerms are what the calls to a runner carry besides their order.
type orderTerms struct {
	deadlineMs int64  // end of the lease, on the runner's clock; 0: no lease
	fenceToken uint64 // fencing token of the newest owner
	lastSeen   uint64 // the owner has the ends up to this FinishedRun.N
}

// pollResponse is a runner's response to a poll.
type pollResponse struct {
	clockMs  int64 // the runner's clock
	active   []protocol.ActiveRun
	finished []protocol.FinishedRun
}

// rejectedError is a runner's definite refusal of a call: it has had no effect.
type rejectedError struct{ reason string }

func (e *rejectedError) Error() string { return "rejected by the runner: " + e.reason }

// reasonFence rejects a call whose fencing token is lower than one that the runner has seen.
const reasonFence = "fence"

// poll renews the lease and asks what the runner runs. The runner may delay its response by wait until a run ends.
func (l *link) poll(ctx context.Context, terms orderTerms, wait time.Duration) (*pollResponse, error) {
	body := append(make([]byte, 0, 128), '{')
	body = appendInt(body, "deadlineMs", terms.deadlineMs)
	body = appendInt(append(body, ','), "fenceToken", int64(terms.fenceToken))
	body = appendInt(append(body, ','), "lastSeen", int64(terms.lastSeen))
	body = appendInt(append(body, ','), "wait_ms", wait.Milliseconds())
	status, response, err := l.post(ctx, pathLease, append(body, '}'), wait)
	if err != nil {
		return nil, err
	}
	if status == http.StatusConflict {
		rejection, _ := parseOrderResponse(string(response)) // without a reason it is a rejection too
		return nil, &rejectedError{rejection.reason}
	}
	if status != http.StatusOK {
		return nil, errors.Errorf("the runner responds to a poll with status %d: %.200s", status, response)
	}
	return parsePollResponse(string(response))
}

func parsePollResponse(body string) (*pollResponse, error) {
	response := new(pollResponse)
	r := &jsonReader{text: body}
	if r.peek() != '{' {
		return nil, errors.New("the runner's response is not a JSON object")
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
	return response, errors.Wrap(r.end(), "parse the runner's response")
}

// start orders a run to be started, and returns the runner's clock. After a *rejectedError it was not started; after any
// other error it may have been.
func (l *link) start(ctx context.Context, terms orderTerms, order *protocol.StartOrder) (clockMs int64, err error) {
	body := appendOrder(make([]byte, 0, 256+len(order.Spec)), order.Task, order.Run)
	body = appendText(appendKey(append(body, ','), "spec"), order.Spec)
	body = appendInt(append(body, ','), "deadlineMs", terms.deadlineMs)
	body = appendInt(append(body, ','), "fenceToken", int64(terms.fenceToken))
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
		return 0, errors.Errorf("the runner responds to a start with status %d: %.200s", status, content)
	}
	return response.clockMs, err
}

// orderResponse is a runner's response to a start or a stop.
type orderResponse struct {
	clockMs int64  // the runner's clock
	reason  string // of a rejection
}

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

// stop orders a run to be stopped, and returns the runner's clock. A run that doesn't exist there will never start there.
func (l *link) stop(ctx context.Context, terms orderTerms, run runName) (clockMs int64, err error) {
	body := appendOrder(make([]byte, 0, 128), run.task, run.run)
	body = appendInt(append(body, ','), "fenceToken", int64(terms.fenceToken))
	status, content, err := l.post(ctx, pathStop, append(body, '}'), 0)
	if err != nil {
		return 0, err
	}
	if status != http.StatusOK {
		return 0, errors.Errorf("the runner responds to a stop with status %d: %.200s", status, content)
	}
	response, err := parseOrderResponse(string(content))
	return response.clockMs, err
}

// appendOrder appends the beginning of an order for a run.
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

func appendInt(body []byte, name string, value int64) []byte {
	return strconv.AppendInt(appendKey(body, name), value, 10)
}
