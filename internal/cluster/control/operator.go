package control

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"github.com/jonboulle/clockwork"
	"github.com/pkg/errors"

	"ospreypond/internal/cluster/configuration"
	"ospreypond/internal/cluster/deadline"
	"ospreypond/internal/cluster/failure"
	"ospreypond/internal/cluster/failure/answers"
	"ospreypond/internal/cluster/protocol"
)

// Bounds and names of the operator's HTTP interface.
const (
	maxChangeBytes      = 8 << 20                // the longest body of a change
	maxOperatorRequests = 16                     // requests served at once, but for readiness
	operatorTimeout     = 800 * time.Millisecond // a request is answered by then, but for large changes
	bytesPerExtraMs     = 2 << 10                // a change gets a ms more for each so many bytes
	bodyReadTimeout     = 10 * time.Second       // the longest that a body may take to arrive
	baseVersionHeader   = "Ospreypond-Base-Version"
	retryAfterSeconds   = "1"
	contentTypeJSON     = "application/json"
	instancesPath       = "/v1/instances/"
	readinessPath       = "/v1/readiness"
	configurationPaths  = "/v1/configuration/"
)

// OwnerCaller calls the owner of the configuration's shard. Calls may be repeated: a change is applied once. Errors carry
// a kind of package failure, which says whether the change may have been applied. It is safe for concurrent use.
type OwnerCaller interface {
	Configure(ctx context.Context, request *protocol.ConfigureRequest) (*protocol.ConfigureResponse, error)
	ReadConfiguration(ctx context.Context, request *protocol.ReadConfigurationRequest) (*protocol.ReadConfigurationResponse, error)
}

// Operator is the operator's HTTP interface at the `control` address: readiness, and reading and changing the
// configuration. Every control process serves it; the owner of the configuration's shard decides. It is safe for
// concurrent use.
type Operator struct {
	// Heartbeats serves /v1/instances/; nil: that is not found. Set before serving.
	Heartbeats http.Handler
	// Clock measures the timeouts of requests. Set before serving.
	Clock clockwork.Clock

	caller OwnerCaller
	logger log.Logger
	slots  chan struct{} // holds an element for each request that is being served
	routes *http.ServeMux
}

// NewOperator returns a handler without heartbeats, with the real clock.
func NewOperator(caller OwnerCaller, logger log.Logger) *Operator {
	o := &Operator{
		Clock:  clockwork.NewRealClock(),
		caller: caller,
		logger: logger,
		slots:  make(chan struct{}, maxOperatorRequests),
		routes: http.NewServeMux(),
	}
	o.routes.HandleFunc("GET "+readinessPath, func(http.ResponseWriter, *http.Request) {})
	o.routes.HandleFunc("GET "+configurationPaths+"read", o.limited(o.read))
	o.routes.HandleFunc("POST "+configurationPaths+protocol.ConfigurationReplace, o.limited(o.change(protocol.ConfigurationReplace)))
	o.routes.HandleFunc("POST "+configurationPaths+protocol.ConfigurationUpdate, o.limited(o.change(protocol.ConfigurationUpdate)))
	o.routes.HandleFunc(instancesPath, o.instances)
	return o
}

// ServeHTTP serves one request.
func (o *Operator) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	o.routes.ServeHTTP(writer, request)
}

// instances serves runners' heartbeats, where there is a handler for them.
func (o *Operator) instances(writer http.ResponseWriter, request *http.Request) {
	if o.Heartbeats == nil {
		http.NotFound(writer, request)
		return
	}
	o.Heartbeats.ServeHTTP(writer, request)
}

// limited rejects requests while maxOperatorRequests are being served.
func (o *Operator) limited(serve http.HandlerFunc) http.HandlerFunc {
	return func(writer http.ResponseWriter, request *http.Request) {
		select {
		case o.slots <- struct{}{}:
			defer func() { <-o.slots }()
			serve(writer, request)
		default:
			writeError(writer, failure.New(failure.Unavailable, "too many requests are being served"))
		}
	}
}

// change serves changes of one kind, protocol.ConfigurationReplace or ConfigurationUpdate.
func (o *Operator) change(kind string) http.HandlerFunc {
	return func(writer http.ResponseWriter, request *http.Request) {
		call, err := readChange(writer, request, kind)
		if err != nil {
			o.rejectChange(writer, kind, err)
			return
		}
		ctx, cancel := deadline.WithTimeout(request.Context(), o.Clock, changeTimeout(len(call.Body)))
		defer cancel()
		response, err := o.caller.Configure(ctx, call)
		if err != nil {
			o.rejectChange(writer, kind, err)
			return
		}
		body := append(strconv.AppendUint([]byte(`{"version":`), response.Version, 10), '}')
		writeJSON(writer, http.StatusOK, body)
	}
}

// readChange reads a complete request. What it rejects as invalid is so whatever version is in force.
func readChange(writer http.ResponseWriter, request *http.Request, kind string) (*protocol.ConfigureRequest, error) {
	body, err := readBody(writer, request)
	if err != nil {
		return nil, err
	}
	base, err := strconv.ParseUint(request.Header.Get(baseVersionHeader), 10, 64)
	if err != nil {
		return nil, failure.Newf(failure.Invalid, "%s is not a version", baseVersionHeader)
	}
	if err := configuration.CheckSyntax(body); err != nil {
		return nil, err
	}
	return &protocol.ConfigureRequest{Kind: protocol.ChangeKind(kind), Base: base, Body: body}, nil
}

// readBody reads a body of at most maxChangeBytes, within bodyReadTimeout.
func readBody(writer http.ResponseWriter, request *http.Request) ([]byte, error) {
	if request.ContentLength > maxChangeBytes {
		return nil, bodyTooLarge()
	}
	connection := http.NewResponseController(writer)
	_ = connection.SetReadDeadline(time.Now().Add(bodyReadTimeout)) // not supported by tests' recorders
	defer func() { _ = connection.SetReadDeadline(time.Time{}) }()
	limited := http.MaxBytesReader(writer, request.Body, maxChangeBytes)
	var body []byte
	var err error
	if request.ContentLength > 0 {
		body = make([]byte, request.ContentLength)
		_, err = io.ReadFull(limited, body)
	} else {
		body, err = io.ReadAll(limited)
	}
	var over *http.MaxBytesError
	if errors.As(err, &over) {
		return nil, bodyTooLarge()
	}
	if err != nil {
		// Not the request's fault but that of a slow or broken link: it may be sent again.
		return nil, failure.Newf(failure.Unavailable, "the body did not arrive completely: %v", err)
	}
	return body, nil
}

// bodyTooLarge returns the error for a body above maxChangeBytes.
func bodyTooLarge() error {
	return failure.Newf(failure.TooLarge, "a change may have at most %d bytes", maxChangeBytes)
}

// changeTimeout is how long a change of that many bytes may take.
func changeTimeout(bytes int) time.Duration { return operatorTimeout + extraTimeForSize(bytes) }

// extraTimeForSize is how much longer a change may take because of its size.
func extraTimeForSize(bytes int) time.Duration {
	return time.Duration(bytes/bytesPerExtraMs) * time.Millisecond
}

// rejectChange logs why a change is not acknowledged, and answers so.
func (o *Operator) rejectChange(writer http.ResponseWriter, kind string, err error) {
	_ = level.Info(o.logger).Log("msg", "a change of the configuration is not acknowledged", "kind", kind, "err", err)
	writeError(writer, err)
}

// read serves the newest committed configuration.
func (o *Operator) read(writer http.ResponseWriter, request *http.Request) {
	ctx, cancel := deadline.WithTimeout(request.Context(), o.Clock, operatorTimeout)
	defer cancel()
	response, err := o.caller.ReadConfiguration(ctx, &protocol.ReadConfigurationRequest{})
	if err != nil {
		writeError(writer, readFailure(err))
		return
	}
	writeJSON(writer, http.StatusOK, response.Body)
}

// readFailure turns an unknown outcome into unavailable: a read that got no response changed nothing, so it may be retried.
func readFailure(err error) error {
	if failure.KindOf(err) == failure.UnknownOutcome {
		return failure.New(failure.Unavailable, err.Error())
	}
	return err
}

// writeError answers with the status of the error's kind.
func writeError(writer http.ResponseWriter, err error) {
	kind := failure.KindOf(err)
	advice := answers.ForKind(kind)
	if advice.Retry {
		writer.Header().Set("Retry-After", retryAfterSeconds)
	}
	body, _ := json.Marshal(map[string]string{"error": kind.String(), "message": err.Error()}) // strings can always be encoded
	writeJSON(writer, advice.Status, body)
}

// writeJSON answers with a status and a JSON body.
func writeJSON(writer http.ResponseWriter, status int, body []byte) {
	writer.Header().Set("Content-Type", contentTypeJSON)
	writer.Header().Set("Content-Length", strconv.Itoa(len(body)))
	writer.WriteHeader(status)
	_, _ = writer.Write(body) // fails if the caller has disconnected
}
