package frontend

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"

	"ospreypond/internal/cluster/deadline"
	"ospreypond/internal/cluster/failure"
	"ospreypond/internal/cluster/httpjson"
)

// How recent confirmations of the configuration are.
const (
	// confirmPollInterval is the time between two checks by a request that waits for a confirmation.
	confirmPollInterval = 20 * time.Millisecond
	// confirmTimeout bounds the time that a request waits for a confirmation.
	confirmTimeout = 400 * time.Millisecond
	// normalAgeMargin is how much older than a watch's longest wait a confirmation becomes while nothing fails, with some
	// reserve. Submissions wait for a newer one than that, and without one the process doesn't report itself ready.
	normalAgeMargin = 800 * time.Millisecond
	// exactAgeMargin is reserved of ConfigApply, so that a request that is sent within that time is handled in it, too.
	exactAgeMargin = 200 * time.Millisecond
	// defaultConfigApply replaces a Bounds.ConfigApply that isn't set.
	defaultConfigApply = 2 * time.Second
)

// maxWatchWait returns how long the owner of the configuration may leave this process's watch unanswered, so that a
// confirmation is recent enough for exact answers until the next one arrives.
func maxWatchWait(configApply time.Duration) time.Duration {
	if configApply <= 0 {
		configApply = defaultConfigApply
	}
	return configApply / 2
}

// Bounds are the times within which the configuration must reach this process.
type Bounds struct {
	ConfigApply time.Duration // from a version's acknowledgement to its effect on new requests; 0: 2 s
	MaxSkew     time.Duration // how much longer that may take while the control plane is unstable
}

// Options configure a Service.
type Options struct {
	Directory Directory
	Owners    Owners
	Views     *Views
	Bounds    Bounds
	Clock     clockwork.Clock // nil: the real one
}

// Service is the HTTP handler for clients' requests. It serves several goroutines at once.
type Service struct {
	Options
	draining atomic.Bool
	// maxAgeExact bounds the age of a confirmation for a response that a version unknown here could make wrong.
	maxAgeExact time.Duration
	// maxAgeNormal is the age that a confirmation reaches while nothing fails.
	maxAgeNormal time.Duration
	// maxAgeSubmit bounds the age of a confirmation for a job to be submitted at all.
	maxAgeSubmit time.Duration
}

// NewService returns a Service. Until Views has a version of the configuration, it asks all clients to retry.
func NewService(options Options) *Service {
	if options.Clock == nil {
		options.Clock = clockwork.NewRealClock()
	}
	if options.Bounds.ConfigApply <= 0 {
		options.Bounds.ConfigApply = defaultConfigApply
	}
	apply, skew := options.Bounds.ConfigApply, options.Bounds.MaxSkew
	return &Service{
		Options:      options,
		maxAgeExact:  max(apply-exactAgeMargin, apply/2),
		maxAgeNormal: maxWatchWait(apply) + normalAgeMargin,
		maxAgeSubmit: apply + skew/2,
	}
}

// Drain makes each response from now on the last one of its connection.
func (s *Service) Drain() { s.draining.Store(true) }

// ServeHTTP responds to one request.
func (s *Service) ServeHTTP(writer http.ResponseWriter, r *http.Request) {
	w := &closingWriter{ResponseWriter: writer, draining: &s.draining}
	arrived := s.Clock.Now()
	if s.Views.Current() == nil {
		httpjson.WriteError(w, failure.New(failure.Unavailable, "there is no configuration yet"))
		return
	}
	to, err := s.findTarget(r.Context(), arrived, r)
	if err != nil {
		httpjson.WriteError(w, err)
		return
	}
	s.serve(r.Context(), w, r, arrived, to)
}

// serve calls the handler of the request's method.
func (s *Service) serve(ctx context.Context, w *closingWriter, r *http.Request, arrived time.Time, to target) {
	if to.id == "" {
		if r.Method != http.MethodGet {
			httpjson.WriteMethodNotAllowed(w, "GET")
			return
		}
		s.servePending(ctx, w, r, arrived, to)
		return
	}
	switch r.Method {
	case http.MethodPost:
		s.serveSubmit(ctx, w, r, arrived, to)
	case http.MethodGet:
		s.serveStatus(ctx, w, r, arrived, to)
	case http.MethodDelete:
		s.serveCancel(ctx, w, r, arrived, to)
	default:
		httpjson.WriteMethodNotAllowed(w, "GET, POST, DELETE")
	}
}

// withBudget returns a context that ends when the request has used its time, which limit bounds.
func (s *Service) withBudget(ctx context.Context, r *http.Request, arrived time.Time, to target, limit time.Duration) (context.Context, context.CancelFunc) {
	allowed := budget(clientWait(r), to.route.Timeout, limit)
	return deadline.WithDeadline(ctx, s.Clock, arrived.Add(allowed))
}
