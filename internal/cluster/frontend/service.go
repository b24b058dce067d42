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

// Times of confirmations of the configuration. The age of a confirmation is the time since the moment at which the owner
// of the configuration has certainly had no newer version.
const (
	// confirmPollInterval is the time between two checks by a request that waits for a confirmation.
	confirmPollInterval = 20 * time.Millisecond
	// confirmTimeout bounds the wait of a request for a confirmation.
	confirmTimeout = 400 * time.Millisecond
	// normalAgeMargin is added to the longest delay of a watch's response. Without faults, the age of the newest
	// confirmation doesn't exceed the sum. If it does, a submission waits for a newer confirmation, and the process isn't
	// ready.
	normalAgeMargin = 800 * time.Millisecond
	// exactAgeMargin is subtracted from ConfigApply. A version that was acknowledged ConfigApply before a request arrives
	// must be used for that request, and the handling of the request takes time as well.
	exactAgeMargin = 200 * time.Millisecond
	// defaultConfigApply stands for a Bounds.ConfigApply that isn't set.
	defaultConfigApply = 2 * time.Second
)

// maxWatchWait returns the longest time that the owner of the configuration may delay its response to this process's watch.
// It is half of configApply, so that a confirmation is still recent enough for exact responses when the next one arrives.
func maxWatchWait(configApply time.Duration) time.Duration {
	if configApply <= 0 {
		configApply = defaultConfigApply
	}
	return configApply / 2
}

// Bounds are the longest times for a version of the configuration to reach this process.
type Bounds struct {
	ConfigApply time.Duration // longest time from a version's acknowledgement to its effect on new requests; 0: 2 s
	MaxSkew     time.Duration // how much longer that may take while faults affect the control plane
}

// Options configure a Service.
type Options struct {
	Directory Directory
	Owners    Owners
	Views     *Views
	Bounds    Bounds
	Clock     clockwork.Clock // nil: the real clock
}

// Service is the HTTP handler for clients' requests. Several goroutines may use it at once.
type Service struct {
	Options
	draining atomic.Bool // each response is the last of its connection
	// maxAgeExact bounds the age of the confirmation for a response that a version unknown to this process could make wrong.
	maxAgeExact time.Duration
	// maxAgeNormal bounds the age of the newest confirmation while there are no faults.
	maxAgeNormal time.Duration
	// maxAgeSubmit bounds the age of the newest confirmation when a job is submitted.
	maxAgeSubmit time.Duration
}

// NewService returns a Service. Before Views has a version of the configuration, it answers each request with 503.
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

// Drain makes each response from now on the last one of its connection, at a shutdown.
func (s *Service) Drain() { s.draining.Store(true) }

// ServeHTTP responds to one request of a client.
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

// serve calls the handler of the request's method. A request without a job's ID is for the queue, and only counts its jobs.
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

// withBudget returns a context that ends when the time for the request is over; see budget.
func (s *Service) withBudget(ctx context.Context, r *http.Request, arrived time.Time, to target, limit time.Duration) (context.Context, context.CancelFunc) {
	allowed := budget(clientWait(r), to.route.Timeout, limit)
	return deadline.WithDeadline(ctx, s.Clock, arrived.Add(allowed))
}
