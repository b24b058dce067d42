// Package agent is the role that runs beside each runner. It carries the runner's heartbeats to the owner of the shard of
// its service, and the owner's orders back.
//
// There are two ways in which runners get their orders (boot.Settings.Commands):
//
//   - The runner sends heartbeats and reads the orders from the responses. A heartbeat is one exchange with the owner;
//     see Service.serveHeartbeat.
//   - The runner is called. Its own heartbeats only announce it; the agent polls it, reports to the owner as if the runner
//     had sent a heartbeat, and calls it for each start and stop; see loop.
//
// The agent promises that orders are the response to the newest heartbeat of an incarnation, that a call of a runner
// carries the highest fencing token that the agent has seen, so that the runner rejects orders of a former owner, and that
// a run whose start may or may not have reached the runner is reported as active until that is known.
//
// It stores nothing durably: a restarted agent learns the fencing token from the owner before it polls its runner. It
// never decides that a runner is dead; owners do, by the absence of heartbeats.
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

// Times of an exchange with the runner, which ignores a response that takes longer than a second.
const (
	// exchangeTimeout bounds the time for which a runner waits for its response here.
	exchangeTimeout = 880 * time.Millisecond
	// successorCheckDelay is how long an owner may take before the agent checks whether it has a successor. An owner that
	// is merely slow is waited for until the end: asking it again would lose the orders that it has already committed.
	successorCheckDelay = 350 * time.Millisecond
	// successorPollInterval is the time between two such checks.
	successorPollInterval = 60 * time.Millisecond
	// attemptRetryInterval is the time between two attempts.
	attemptRetryInterval = 40 * time.Millisecond
	// minAttemptTime is the least time for which another attempt is worth making.
	minAttemptTime = 60 * time.Millisecond
)

// maxBodyBytes bounds a heartbeat, and a response of a runner.
const maxBodyBytes = 4 << 20

// Owners carries messages to the owners of shards. A call returns the result of the last process that it asked, and no
// effect of it comes after it has returned. Its methods are called by several goroutines at once.
type Owners interface {
	// Heartbeat carries a heartbeat to the owner of request.Shard and returns its orders.
	Heartbeat(ctx context.Context, request *protocol.HeartbeatRequest) (*protocol.HeartbeatResponse, error)
	// Deregister reports a planned end to the owner of request.Shard.
	Deregister(ctx context.Context, request *protocol.DeregisterRequest) (*protocol.DeregisterResponse, error)
	// Owner returns the address of a shard's owner as far as known, otherwise "".
	Owner(shard protocol.ShardID) string
	// Refresh asks who owns which shard at once, without waiting for the response.
	Refresh()
}

// Options configure a Service.
type Options struct {
	Owners  Owners
	Service string          // of the runner on this machine, for calls that don't name it; empty: unknown
	Clock   clockwork.Clock // nil: the real one
	Calls   bool            // the runner is called
	App     string          // ip:port at which it is called; empty: at the address in its heartbeats
	Dial    Dial            // connects to it; nil: by TCP
}

// Service is the HTTP handler for the calls of the runner on this machine. It serves several goroutines at once.
type Service struct {
	owners     Owners
	service    string
	clock      clockwork.Clock
	tracker    heartbeatTracker
	supervisor *loopSupervisor // nil: runners aren't called
}

// NewService returns a Service. It must be closed.
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
	if options.Calls {
		s.supervisor = &loopSupervisor{service: s, address: options.App, dial: options.Dial}
	}
	return s
}

// Close ends the calls to the runner, and waits for the one that is in flight.
func (s *Service) Close() {
	if s.supervisor != nil {
		s.supervisor.close()
	}
}

const instancesPath = "/v1/instances/"

// ServeHTTP responds to one call of a runner.
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

// Calls of a runner, named at the end of the path.
const (
	verbHeartbeat  = "heartbeat"
	verbDeregister = "deregister"
)

// splitPath parses /v1/instances/INSTANCE/VERB.
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
