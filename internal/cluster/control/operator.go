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

// Bounds of the operator's interface.
const (
	operatorBodyBytes  = 8 << 20                // largest order
	operatorOrders     = 16                     // orders and readings under way at once
	operatorTime       = 800 * time.Millisecond // an order is answered by then, but for large ones
	operatorBytesAMs   = 2 << 10                // large orders get a ms more for each so many bytes
	operatorReadTime   = 10 * time.Second       // the longest that a body may take to arrive
	baseVersionHeader  = "Ospreypond-Base-Version"
	retryAfterSeconds  = "1"
	contentTypeJSON    = "application/json"
	instancesPath      = "/v1/instances/"
	readinessPath      = "/v1/readiness"
	configurationPaths = "/v1/configuration/"
)

// OwnerCaller reaches the owner of the configuration's shard. Calls may be repeated: the same order is taken once.
// Errors carry a kind of package failure, which says whether the order may have been taken.
type OwnerCaller interface {
	Configure(ctx context.Context, request *protocol.ConfigureRequest) (*protocol.ConfigureResponse, error)
	ReadConfiguration(ctx context.Context, request *protocol.ReadConfigurationRequest) (*protocol.ReadConfigurationResponse, error)
}

// Operator is the HTTP interface at the `control` address. Any control process serves it; the owner of the
// configuration's shard decides.
type Operator struct {
	// Heartbeats serves /v1/instances/, if set.
	Heartbeats http.Handler
	// Clock bounds how long orders and readings may take.
	Clock clockwork.Clock

	caller OwnerCaller
	logger log.Logger
	room   chan struct{}
	routes *http.ServeMux
}

// NewOperator returns the handler.
func NewOperator(caller OwnerCaller, logger log.Logger) *Operator {
	o := &Operator{
		Clock:  clockwork.NewRealClock(),
		caller: caller,
		logger: logger,
		room:   make(chan struct{}, operatorOrders),
		routes: http.NewServeMux(),
	}
	o.routes.HandleFunc("GET "+readinessPath, func(http.ResponseWriter, *http.Request) {})
	o.routes.HandleFunc("GET "+configurationPaths+"read", o.bounded(o.read))
	o.routes.HandleFunc("POST "+configurationPaths+protocol.ConfigurationReplace, o.bounded(o.order(protocol.ConfigurationReplace)))
	o.routes.HandleFunc("POST "+configurationPaths+protocol.ConfigurationUpdate, o.bounded(o.order(protocol.ConfigurationUpdate)))
	o.routes.HandleFunc(instancesPath, o.instances)
	return o
}

// ServeHTTP serves one request.
func (o *Operator) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	o.routes.ServeHTTP(writer, request)
}

func (o *Operator) instances(writer http.ResponseWriter, request *http.Request) {
	if o.Heartbeats == nil {
		http.NotFound(writer, request)
		return
	}
	o.Heartbeats.ServeHTTP(writer, request)
}

// bounded refuses what comes while too much is under way.
func (o *Operator) bounded(serve http.HandlerFunc) http.HandlerFunc {
	return func(writer http.ResponseWriter, request *http.Request) {
		select {
		case o.room <- struct{}{}:
			defer func() { <-o.room }()
			serve(writer, request)
		default:
			refuse(writer, failure.New(failure.Unavailable, "too many orders are under way"))
		}
	}
}

// order serves orders of one kind.
func (o *Operator) order(kind string) http.HandlerFunc {
	return func(writer http.ResponseWriter, request *http.Request) {
		call, err := readOrder(writer, request, kind)
		if err != nil {
			o.refuseOrder(writer, kind, err)
			return
		}
		ctx, cancel := deadline.WithTimeout(request.Context(), o.Clock, orderTime(len(call.Body)))
		defer cancel()
		response, err := o.caller.Configure(ctx, call)
		if err != nil {
			o.refuseOrder(writer, kind, err)
			return
		}
		body := append(strconv.AppendUint([]byte(`{"version":`), response.Version, 10), '}')
		answer(writer, http.StatusOK, body)
	}
}

// readOrder reads an order whole. What it refuses is wrong whatever version is in force.
func readOrder(writer http.ResponseWriter, request *http.Request, kind string) (*protocol.ConfigureRequest, error) {
	body, err := readBody(writer, request)
	if err != nil {
		return nil, err
	}
	base, err := strconv.ParseUint(request.Header.Get(baseVersionHeader), 10, 64)
	if err != nil {
		return nil, failure.Newf(failure.Invalid, "%s is no version", baseVersionHeader)
	}
	if err := configuration.CheckSyntax(body); err != nil {
		return nil, err
	}
	return &protocol.ConfigureRequest{Kind: kind, Base: base, Body: body}, nil
}

func readBody(writer http.ResponseWriter, request *http.Request) ([]byte, error) {
	if request.ContentLength > operatorBodyBytes {
		return nil, tooLarge()
	}
	connection := http.NewResponseController(writer)
	_ = connection.SetReadDeadline(time.Now().Add(operatorReadTime)) // where it is supported
	defer func() { _ = connection.SetReadDeadline(time.Time{}) }()
	limited := http.MaxBytesReader(writer, request.Body, operatorBodyBytes)
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
		return nil, tooLarge()
	}
	if err != nil {
		// A slow or broken link makes no order wrong: it may be sent again.
		return nil, failure.Newf(failure.Unavailable, "the body did not arrive whole: %v", err)
	}
	return body, nil
}

func tooLarge() error {
	return failure.Newf(failure.TooLarge, "an order has at most %d bytes", operatorBodyBytes)
}

// orderTime is how long an order of that many bytes may take.
func orderTime(bytes int) time.Duration { return operatorTime + sizeTime(bytes) }

// sizeTime is how much longer an order takes for its size.
func sizeTime(bytes int) time.Duration {
	return time.Duration(bytes/operatorBytesAMs) * time.Millisecond
}

func (o *Operator) refuseOrder(writer http.ResponseWriter, kind string, err error) {
	level.Info(o.logger).Log("msg", "a change of the configuration is not acknowledged", "kind", kind, "err", err)
	refuse(writer, err)
}

// read serves the newest configuration.
func (o *Operator) read(writer http.ResponseWriter, request *http.Request) {
	ctx, cancel := deadline.WithTimeout(request.Context(), o.Clock, operatorTime)
	defer cancel()
	response, err := o.caller.ReadConfiguration(ctx, &protocol.ReadConfigurationRequest{})
	if err != nil {
		refuse(writer, readFailure(err))
		return
	}
	answer(writer, http.StatusOK, response.Body)
}

// readFailure turns a doubtful outcome into a clear one: a reading that got no answer changed nothing.
func readFailure(err error) error {
	if failure.KindOf(err) == failure.UnknownOutcome {
		return failure.New(failure.Unavailable, err.Error())
	}
	return err
}

// refuse answers with the status of the error's kind.
func refuse(writer http.ResponseWriter, err error) {
	kind := failure.KindOf(err)
	advice := answers.To(kind)
	if advice.Retry {
		writer.Header().Set("Retry-After", retryAfterSeconds)
	}
	body, _ := json.Marshal(map[string]string{"error": kind.String(), "message": err.Error()}) // strings can always be written
	answer(writer, advice.Status, body)
}

func answer(writer http.ResponseWriter, status int, body []byte) {
	writer.Header().Set("Content-Type", contentTypeJSON)
	writer.Header().Set("Content-Length", strconv.Itoa(len(body)))
	writer.WriteHeader(status)
	_, _ = writer.Write(body) // a caller that has left is not told
}
