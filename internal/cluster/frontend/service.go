package frontend

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"

	"ospreypond/internal/cluster/deadline"
	"ospreypond/internal/cluster/failure"
)

// How new the knowledge of the configuration must be.
const (
	// confirmPoll is how often a request that waits for a confirmation looks for it.
	confirmPoll = 20 * time.Millisecond
	// confirmWait is the longest time that a request waits for a confirmation.
	confirmWait = 400 * time.Millisecond
	// calmSlack is how much older than a watch's longest wait a confirmation gets in calm, with some to spare. Beyond
	// it, hand-ins wait for a newer one, and the process doesn't call itself ready.
	calmSlack = 800 * time.Millisecond
)

// watchWait is how long the owner of the configuration may hold this process's watch: a confirmation then stays young
// enough for exact answers until the next one comes.
func watchWait(configApply time.Duration) time.Duration {
	if configApply <= 0 {
		configApply = defaultConfigApply
	}
	return configApply / 2
}

// Bounds are the times within which the configuration must reach this process.
type Bounds struct {
	ConfigApply time.Duration // from a version's acknowledgement to its effect on new requests
	MaxSkew     time.Duration // how much longer that may take while the core is unstable
}

// Options are what a Service is made of.
type Options struct {
	Directory Directory
	Owners    Owners
	Views     *Views
	Bounds    Bounds
	Clock     clockwork.Clock
}

// Service is the handler of clients' requests.
type Service struct {
	Options
	draining atomic.Bool
	// exact is how old a confirmation may be for an answer that an unseen version could make wrong.
	exact time.Duration
	// calm is how old it gets at most in calm.
	calm time.Duration
	// oldest is how old it may be for a hand-in to be carried on at all.
	oldest time.Duration
}

// Shares of the bounds, so that a request sent within a bound is handled in it too.
const (
	defaultConfigApply = 2 * time.Second
	exactMargin        = 200 * time.Millisecond
)

// NewService returns a Service. It serves from the first view on; until then all are told to come back.
func NewService(options Options) *Service {
	if options.Clock == nil {
		options.Clock = clockwork.NewRealClock()
	}
	if options.Bounds.ConfigApply <= 0 {
		options.Bounds.ConfigApply = defaultConfigApply
	}
	apply, skew := options.Bounds.ConfigApply, options.Bounds.MaxSkew
	return &Service{
		Options: options,
		exact:   max(apply-exactMargin, apply/2),
		calm:    watchWait(apply) + calmSlack,
		oldest:  apply + skew/2,
	}
}

// Drain makes each answer from now on the last of its connection.
func (s *Service) Drain() { s.draining.Store(true) }

// ServeHTTP answers one request.
func (s *Service) ServeHTTP(writer http.ResponseWriter, r *http.Request) {
	w := &closingWriter{ResponseWriter: writer, draining: &s.draining}
	arrived := s.Clock.Now()
	view := s.Views.Current()
	if view == nil {
		answerError(w, failure.New(failure.Unavailable, "there is no configuration yet"))
		return
	}
	target, err := s.find(r.Context(), arrived, r)
	if err != nil {
		answerError(w, err)
		return
	}
	s.serve(w, r, arrived, target)
}

// serve hands the request to its verb.
func (s *Service) serve(w *closingWriter, r *http.Request, arrived time.Time, target target) {
	if target.id == "" {
		if r.Method != http.MethodGet {
			refuseMethod(w, "GET")
			return
		}
		s.servePending(w, r, arrived, target)
		return
	}
	switch r.Method {
	case http.MethodPost:
		s.serveHandIn(w, r, arrived, target)
	case http.MethodGet:
		s.serveStatus(w, r, arrived, target)
	case http.MethodDelete:
		s.serveCancel(w, r, arrived, target)
	default:
		refuseMethod(w, "GET, POST, DELETE")
	}
}

func refuseMethod(w http.ResponseWriter, allowed string) {
	w.Header().Set("Allow", allowed)
	answerFault(w, http.StatusMethodNotAllowed, "method_not_allowed", "allowed here: "+allowed)
}

// within returns a context that ends when the request has used its time.
func (s *Service) within(r *http.Request, arrived time.Time, target target, most time.Duration) (context.Context, context.CancelFunc) {
	allowed := budget(clientWait(r), target.route.Timeout, most)
	return deadline.WithDeadline(r.Context(), s.Clock, arrived.Add(allowed))
}
