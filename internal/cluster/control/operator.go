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

// Limits and names of the operator's HTTP interface.
const (
	maxChangeBytes      = 8 << 20                // maximum length of a change's body
	maxOperatorRequests = 16                     // reads and changes of the configuration that are served at the same time
	operatorTimeout     = 800 * time.Millisecond // for a read or a change; large changes get more, see changeTimeout
	bytesPerExtraMs     = 2 << 10                // a change's timeout is 1 ms longer for each 2 KiB of its body
	bodyReadTimeout     = 10 * time.Second       // for the complete body of a change to arrive
	baseVersionHeader   = "Ospreypond-Base-Version"
	retryAfterSeconds   = "1"
	contentTypeJSON     = "application/json"
	instancesPath       = "/v1/instances/"
	readinessPath       = "/v1/readiness"
	configurationPaths  = "/v1/configuration/"
)

// OwnerCaller calls the owner of the configuration's shard. A caller may repeat a change, which is applied only once. Errors
// have a kind of package failure, which says whether the change may have been applied. An OwnerCaller is safe for concurrent
// use.
type OwnerCaller interface {
	Configure(ctx context.Context, request *protocol.ConfigureRequest) (*protocol.ConfigureResponse, error)
	ReadConfiguration(ctx context.Context, request *protocol.ReadConfigurationRequest) (*protocol.ReadConfigurationResponse, error)
}

// Operator is the operator's HTTP interface at the address listen.control of the settings. It serves readiness, and reads
// and changes of the configuration. Every control process serves it and passes reads and changes to the owner of the
// configuration's shard. It is safe for concurrent use.
type Operator struct {
	// Heartbeats serves /v1/instances/; with nil, requests for it get status 404. It must be set before serving.
	Heartbeats http.Handler
	// Clock measures the timeouts of requests. Set before serving.
	Clock clockwork.Clock

	caller OwnerCaller
	logger log.Logger
	slots  chan struct{} // has an element for each read or change that is being served; its capacity is the limit
	routes *http.ServeMux
}

// NewOperator returns an Operator with the real clock that serves no heartbeats.
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

// instances passes requests of runners to Heartbeats, if it is set.
func (o *Operator) instances(writer http.ResponseWriter, request *http.Request) {
	if o.Heartbeats == nil {
		http.NotFound(writer, request)
		return
	}
	o.Heartbeats.ServeHTTP(writer, request)
}

// limited returns a handler that calls serve, but rejects requests while maxOperatorRequests are being served.
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

// change returns the handler of changes of one kind: protocol.ConfigurationReplace or protocol.ConfigurationUpdate.
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

// readChange reads a change and checks its syntax. An error of kind failure.Invalid doesn't depend on the current version of
// the configuration, so the owner needn't be called.
func readChange(writer http.ResponseWriter, request *http.Request, kind string) (*protocol.ConfigureRequest, error) {
	body, err := readBody(writer, request)
	if err != nil {
		return nil, err
	}
	base, err := strconv.ParseUint(request.Header.Get(baseVersionHeader), 10, 64)
	if err != nil {
		return nil, failure.Newf(failure.Invalid, "header %s is not a version number", baseVersionHeader)
	}
	if err := configuration.CheckSyntax(body); err != nil {
		return nil, err
	}
	return &protocol.ConfigureRequest{Kind: protocol.ChangeKind(kind), Base: base, Body: body}, nil
}

// readBody reads a body of at most maxChangeBytes within bodyReadTimeout.
func readBody(writer http.ResponseWriter, request *http.Request) ([]byte, error) {
	if request.ContentLength > maxChangeBytes {
		return nil, bodyTooLarge()
	}
	connection := http.NewResponseController(writer)
	_ = connection.SetReadDeadline(time.Now().Add(bodyReadTimeout)) // the recorders of tests don't support deadlines
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
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return nil, bodyTooLarge()
	}
	if err != nil {
		// The connection was slow or broken, so the client may repeat the request: the error must not be Invalid.
		return nil, failure.Newf(failure.Unavailable, "the request body did not arrive completely: %v", err)
	}
	return body, nil
}

// bodyTooLarge returns the error for a body of more than maxChangeBytes.
func bodyTooLarge() error {
	return failure.Newf(failure.TooLarge, "the request body of a change may have at most %d bytes", maxChangeBytes)
}

// changeTimeout returns the timeout of a change with a body of this size.
func changeTimeout(bytes int) time.Duration { return operatorTimeout + extraTimeForSize(bytes) }

// extraTimeForSize returns the time that a change with a body of this size may take in addition to the time of a small
// change.
func extraTimeForSize(bytes int) time.Duration {
	return time.Duration(bytes/bytesPerExtraMs) * time.Millisecond
}

// rejectChange logs why a change is not acknowledged, and responds with the error.
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

// readFailure converts an unknown outcome into failure.Unavailable: a read has no effect on the state, so it can be retried
// even if its outcome is unknown.
func readFailure(err error) error {
	if failure.KindOf(err) == failure.UnknownOutcome {
		return failure.New(failure.Unavailable, err.Error())
	}
	return err
}

// writeError responds with the HTTP status of the error's kind, the error as JSON and, if a retry is useful, Retry-After.
func writeError(writer http.ResponseWriter, err error) {
	kind := failure.KindOf(err)
	advice := answers.ForKind(kind)
	if advice.Retry {
		writer.Header().Set("Retry-After", retryAfterSeconds)
	}
	body, _ := json.Marshal(map[string]string{"error": kind.String(), "message": err.Error()}) // encoding strings can't fail
	writeJSON(writer, advice.Status, body)
}

// writeJSON responds with a status and a JSON body.
func writeJSON(writer http.ResponseWriter, status int, body []byte) {
	writer.Header().Set("Content-Type", contentTypeJSON)
	writer.Header().Set("Content-Length", strconv.Itoa(len(body)))
	writer.WriteHeader(status)
	_, _ = writer.Write(body) // fails if the client has disconnected
}
