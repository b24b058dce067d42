// Package agent is the role beside each runner: it carries the runner's heartbeats to the owner of its service's shard
// and the owner's orders back. It keeps nothing that lasts, and looks at no runner by itself.
package agent

import (
	"context"
	"net/http"
	"strings"
	"time"

	"github.com/jonboulle/clockwork"

	"ospreypond/internal/cluster/deadline"
	"ospreypond/internal/cluster/failure"
	"ospreypond/internal/cluster/protocol"
)

// Times of an exchange with the runner, which drops an answer that takes longer than a second.
const (
	// exchangeTime is the longest that a runner waits for its answer here.
	exchangeTime = 880 * time.Millisecond
	// patience is how long an owner is waited for before it is looked whether it has a successor. An owner that is
	// merely slow is waited for to the end: asking it again would throw away the orders it has already committed.
	patience = 350 * time.Millisecond
	// successorPoll is how often it is looked from then on.
	successorPoll = 60 * time.Millisecond
	// attemptPause is waited between two attempts.
	attemptPause = 40 * time.Millisecond
	// shortestAttempt is the least time for which another attempt is worth making.
	shortestAttempt = 60 * time.Millisecond
)

// maxBodyBytes bounds a heartbeat.
const maxBodyBytes = 4 << 20

// usualBodyBytes is how much of a body is made room for before it comes.
const usualBodyBytes = 16 << 10

// Owners carries messages to the owners of shards. A call gives the result of the last process it asked, and nothing
// of it comes after it has returned.
type Owners interface {
	Heartbeat(ctx context.Context, request *protocol.HeartbeatRequest) (*protocol.HeartbeatResponse, error)
	Deregister(ctx context.Context, request *protocol.DeregisterRequest) (*protocol.DeregisterResponse, error)
	// Owner returns the address of a shard's owner as far as known, else "".
	Owner(shard protocol.ShardID) string
	// Refresh learns at once who owns which shard, without waiting for the answer.
	Refresh()
}

// Options are what a Service is made of.
type Options struct {
	Owners  Owners
	Service string          // of the runner on this machine, for calls that don't name it; empty: unknown
	Clock   clockwork.Clock // nil: the real one
	Calls   bool            // the runner is called, instead of answered
	App     string          // where it is called; empty: at the address in its heartbeats
	Dial    Dial            // connects to it; nil: by TCP
}

// Service is the handler of a runner's calls.
type Service struct {
	owners  Owners
	service string
	clock   clockwork.Clock
	beats   beats
	caller  *caller // nil: the runner is answered
}

// NewService returns a Service.
func NewService(options Options) *Service {
	if options.Clock == nil {
		options.Clock = clockwork.NewRealClock()
	}
	s := &Service{
		owners:  options.Owners,
		service: options.Service,
		clock:   options.Clock,
		beats:   beats{byInstance: make(map[string]*beat)},
	}
	if options.Calls {
		s.caller = &caller{service: s, address: options.App, dial: options.Dial}
	}
	return s
}

// Close ends the calls to the runner.
func (s *Service) Close() {
	if s.caller != nil {
		s.caller.close()
	}
}

const instancesPath = "/v1/instances/"

// ServeHTTP answers one call of a runner.
func (s *Service) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	instance, verb, ok := splitPath(r.URL.Path)
	if !ok {
		answerError(w, failure.New(failure.NoRoute, "there is nothing at this path"))
		return
	}
	if r.Method != http.MethodPost {
		w.Header().Set("Allow", http.MethodPost)
		answerFault(w, http.StatusMethodNotAllowed, "method_not_allowed", "allowed here: POST")
		return
	}
	ctx, cancel := deadline.WithTimeout(r.Context(), s.clock, exchangeTime)
	defer cancel()
	if verb == verbHeartbeat {
		s.serveHeartbeat(ctx, w, r, instance)
		return
	}
	s.serveDeregister(ctx, w, r, instance)
}

// What a runner asks for, at the end of the path.
const (
	verbHeartbeat  = "heartbeat"
	verbDeregister = "deregister"
)

// splitPath takes apart /v1/instances/ID/VERB.
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
