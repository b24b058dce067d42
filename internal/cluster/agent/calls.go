package agent

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"ospreypond/internal/cluster/protocol"
)

// Paths at a runner that is called.
const (
	pathStart = "/v1/run-start"
	pathStop  = "/v1/run-stop"
	pathHold  = "/v1/hold"
)

// terms are what every order carries.
type terms struct {
	deadlineMs int64 // on the runner's clock; 0: nothing is held
	fenceToken uint64
	lastSeen   uint64
}

// look is a runner's answer to a hold.
type look struct {
	clockMs  int64
	active   []protocol.ActiveRun
	finished []protocol.FinishedRun
}

// refusal is a runner's definite no.
type refusal struct{ why string }

func (r *refusal) Error() string { return "the runner refuses: " + r.why }

// whyFence is the refusal of an order whose fence token is lower than one that the runner has seen.
const whyFence = "fence"

// hold gives a hold and looks. The runner may wait for an end, as long as that.
func (l *link) hold(ctx context.Context, given terms, wait time.Duration) (*look, error) {
	body := append(make([]byte, 0, 128), '{')
	body = appendInt(body, "deadlineMs", given.deadlineMs)
	body = appendInt(append(body, ','), "fenceToken", int64(given.fenceToken))
	body = appendInt(append(body, ','), "lastSeen", int64(given.lastSeen))
	body = appendInt(append(body, ','), "wait_ms", wait.Milliseconds())
	status, answer, err := l.post(ctx, pathHold, append(body, '}'), wait)
	if err != nil {
		return nil, err
	}
	if status == http.StatusConflict {
		told, _ := parseReply(string(answer)) // whatever it says, nothing was done
		return nil, &refusal{told.why}
	}
	if status != http.StatusOK {
		return nil, errors.Errorf("the runner answers a hold with %d: %.200s", status, answer)
	}
	return parseLook(string(answer))
}

func parseLook(body string) (*look, error) {
	seen := new(look)
	c := &cursor{text: body}
	if c.peek() != '{' {
		return nil, errors.New("the runner's answer is no object")
	}
	c.object(func(name string) {
		switch name {
		case "clockMs":
			seen.clockMs = c.int()
		case "active":
			c.array(func(int) { seen.active = append(seen.active, readActive(c)) })
		case "finished":
			c.array(func(int) { seen.finished = append(seen.finished, readFinished(c)) })
		default:
			c.skip()
		}
	})
	return seen, errors.Wrap(c.end(), "the runner's answer")
}

// start has a run started, and returns the runner's clock in ms. A *refusal says that it was not started; any other error
// that it may have been.
func (l *link) start(ctx context.Context, given terms, order *protocol.StartOrder) (clockMs int64, err error) {
	body := appendOrder(make([]byte, 0, 256+len(order.Spec)), order.Task, order.Run)
	body = appendText(appendKey(append(body, ','), "spec"), order.Spec)
	body = appendInt(append(body, ','), "deadlineMs", given.deadlineMs)
	body = appendInt(append(body, ','), "fenceToken", int64(given.fenceToken))
	if order.Saved != "" {
		body = appendText(appendKey(append(body, ','), "checkpointed"), order.Saved)
	}
	status, answer, err := l.post(ctx, pathStart, append(body, '}'), 0)
	if err != nil {
		return 0, err
	}
	told, err := parseReply(string(answer))
	switch {
	case status == http.StatusConflict:
		return told.clockMs, &refusal{told.why}
	case status != http.StatusOK:
		return 0, errors.Errorf("the runner answers a start with %d: %.200s", status, answer)
	}
	return told.clockMs, err
}

// reply is a runner's answer to a start or a stop.
type reply struct {
	clockMs int64
	why     string
}

func parseReply(body string) (reply, error) {
	var told reply
	c := &cursor{text: body}
	c.object(func(name string) {
		switch name {
		case "clockMs":
			told.clockMs = c.int()
		case "why":
			told.why = c.string()
		default:
			c.skip()
		}
	})
	return told, errors.Wrap(c.end(), "the runner's answer")
}

// stop has a run stopped, and returns the runner's clock in ms. A run that is not there will never start there.
func (l *link) stop(ctx context.Context, given terms, run runName) (clockMs int64, err error) {
	body := appendOrder(make([]byte, 0, 128), run.task, run.run)
	body = appendInt(append(body, ','), "fenceToken", int64(given.fenceToken))
	status, answer, err := l.post(ctx, pathStop, append(body, '}'), 0)
	if err != nil {
		return 0, err
	}
	if status != http.StatusOK {
		return 0, errors.Errorf("the runner answers a stop with %d: %.200s", status, answer)
	}
	told, err := parseReply(string(answer))
	return told.clockMs, err
}

// appendOrder begins an order for a run.
func appendOrder(body []byte, task string, run uint64) []byte {
	body = appendText(appendKey(append(body, '{'), "task"), task)
	return strconv.AppendUint(appendKey(append(body, ','), "runId"), run, 10)
}

func appendKey(body []byte, name string) []byte {
	body = append(body, '"')
	body = append(body, name...)
	return append(body, '"', ':')
}

func appendInt(body []byte, name string, value int64) []byte {
	return strconv.AppendInt(appendKey(body, name), value, 10)
}
