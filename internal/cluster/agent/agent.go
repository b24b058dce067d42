// Package agent is the role that runs on the same machine as each runner. The agent carries the runner's heartbeats to the
// owner of the shard that stores the jobs of the runner's service, and carries the owner's orders back.
//
// A runner gets its orders in one of two ways (boot.Settings.Commands):
//
//   - boot.CommandsHeartbeat: the runner sends heartbeats and reads its orders from the responses. Each heartbeat is one
//     exchange with the owner; see Service.serveHeartbeat.
//   - boot.CommandsInvocation: the agent calls the runner. The runner's own heartbeats only register it. The agent polls the
//     runner, composes a heartbeat for the owner from the runner's responses, and calls the runner for each start and
//     stop; see loop.
//
// Invariants, with the fault that each is for:
//
//   - Only the newest heartbeat of an incarnation is answered with orders. A heartbeat that was delayed on the network would
//     report runs as they were earlier, and the owner would decide by that report. See heartbeatTracker.
//   - Orders for a runner that is called are accepted only with a fencing token that is at least as high as each token that
//     the agent has accepted before, and each call carries that token. A former owner that has not noticed its successor
//     therefore can't start or stop a run: the agent drops its orders, and the runner rejects a call whose token is lower
//     than the highest token that it has seen. See loop.sendHeartbeat.
//   - A call for a start is sent only under a lease, and carries the end of that lease on the runner's clock. A runner
//     that loses its agent or its owner ends its runs when the lease expires, so that the owner knows when it may start
//     them elsewhere. See loop.updateParameters.
//   - A run is reported as active while it is unknown whether the runner has started it, as after a connection that broke
//     before the response. The owner would otherwise give the capacity to another run. See unconfirmedStarts.
//
// An agent writes no state to disk. After a restart it knows no fencing token, and its runner may refuse its calls; it then
// gets the token from the owner. An agent never decides that a runner is dead: owners do, when heartbeats no longer arrive.
package agent

import (
	"context"
	"net/http"
	"strings"
	"time"

	"github.com/jonboulle/clockwork"

	"ospreypond/internal/cluster/deadline"
	"ospreypond/internal/cluster/failure"
	"ospreypond/internal/cluster/httpjson"
	"ospreypond/internal/cluster/protocol"
)

// Times of one exchange: a runner's request to this agent and the calls of the shard's owner that it causes. A runner
// ignores a response that takes longer than a second.
const (
	// exchangeTimeout bounds the time from the arrival of a runner's request to its response, including all attempts. The
	// rest of the runner's second is for the way between the runner and the agent. A loop's exchanges have the same bound.
	exchangeTimeout = 880 * time.Millisecond
	// successorCheckDelay is the time after which the agent checks whether an owner that has not responded has a
	// successor. Without a successor the agent waits for the slow owner until exchangeTimeout. If it repeated the
	// heartbeat instead, the owner would reject the repetition, and the response to the first attempt would be lost with
	// orders that the owner has already committed.
	successorCheckDelay = 350 * time.Millisecond
	// successorPollInterval is the time between two checks for a successor.
	successorPollInterval = 60 * time.Millisecond
	// attemptRetryInterval is the pause between two attempts to call an owner.
	attemptRetryInterval = 40 * time.Millisecond
	// minAttemptTime is the least time that must be left before exchangeTimeout for another attempt to be made.
	minAttemptTime = 60 * time.Millisecond
)

// maxBodyBytes bounds the body of a runner's request to the agent, and the body of a runner's response to a call.
const maxBodyBytes = 4 << 20

// Owners calls the owners of shards. Several goroutines may call its methods at once.
type Owners interface {
	// Heartbeat sends a heartbeat to the owner of request.Shard and returns the owner's orders. If it calls several
	// processes, it returns the orders of the last one.
	Heartbeat(ctx context.Context, request *protocol.HeartbeatRequest) (*protocol.HeartbeatResponse, error)
	// Deregister tells the owner of request.Shard that a runner is about to end as planned.
	Deregister(ctx context.Context, request *protocol.DeregisterRequest) (*protocol.DeregisterResponse, error)
	// Owner returns the internal address of a shard's owner, or "" if it is not known.
	Owner(shard protocol.ShardID) string
	// Refresh requests the current owners of all shards. It returns without waiting for the response.
	Refresh()
}

// Options configure a Service.
type Options struct {
	Owners        Owners
	Service       string          // service of the runner on this machine, for deregistrations that don't name it; empty: unknown
	Clock         clockwork.Clock // nil: the real clock
	CallsRunner   bool            // the agent calls the runner (boot.CommandsInvocation)
	RunnerAddress string          // ip:port at which the agent calls the runner; empty: the address in the runner's heartbeats
	Dial          Dial            // connects to the runner; nil: by TCP
}

// Service is the HTTP handler for the requests of the runner on this machine. Several goroutines may use it at once.
type Service struct {
	owners     Owners
	service    string
	clock      clockwork.Clock
	tracker    heartbeatTracker
	supervisor *loopSupervisor // nil: runners read their orders from the responses to their heartbeats
}

// NewService returns a Service. The caller must close it.
func NewService(options Options) *Service {
	if options.Clock == nil {
		options.Clock = clockwork.NewRealClock()
	}
	s := &Service{
		owners:  options.Owners,
		service: options.Service,
		clock:   options.Clock,
		tracker: heartbeatTracker{inFlight: make(map[string]*inFlightHeartbeat)},
	}
	if options.CallsRunner {
		s.supervisor = &loopSupervisor{service: s, address: options.RunnerAddress, dial: options.Dial}
	}
	return s
}

// Close ends the calls to the runner, and waits until the call in flight has ended.
func (s *Service) Close() {
	if s.supervisor != nil {
		s.supervisor.close()
	}
}

// instancesPath is the beginning of the path of each runner's request; see splitPath.
const instancesPath = "/v1/instances/"

// ServeHTTP responds to one request of a runner.
func (s *Service) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	instance, verb, ok := splitPath(r.URL.Path)
	if !ok {
		httpjson.WriteError(w, failure.New(failure.NoRoute, "there is nothing at this path"))
		return
	}
	if r.Method != http.MethodPost {
		httpjson.WriteMethodNotAllowed(w, http.MethodPost)
		return
	}
	ctx, cancel := deadline.WithTimeout(r.Context(), s.clock, exchangeTimeout)
	defer cancel()
	if verb == verbHeartbeat {
		s.serveHeartbeat(ctx, w, r, instance)
		return
	}
	s.serveDeregister(ctx, w, r, instance)
}

// Verbs of a runner's requests: the last part of the path.
const (
	verbHeartbeat  = "heartbeat"
	verbDeregister = "deregister"
)

// splitPath parses /v1/instances/INSTANCE/VERB. ok is false for any other path, and for an unknown verb.
func splitPath(path string) (instance, verb string, ok bool) {
	rest, ok := strings.CutPrefix(path, instancesPath)
	if !ok {
		return "", "", false
	}
	instance, verb, ok = strings.Cut(rest, "/")
	if !ok || instance == "" || (verb != verbHeartbeat && verb != verbDeregister) {
		return "", "", false
	}
	return instance, verb, true
}
