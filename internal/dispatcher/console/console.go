// Package console serves the operators' calls over HTTP/1.1 at a separate address, which clients don't use.
// A connection carries one call. A status of 2xx means success, a status of 4xx or 5xx means failure.
//
// A call only reads or changes state that its goroutine can access without waiting. No call waits for the coordinator,
// so a busy dispatcher also responds within the one second that operators' tools wait. The server has its own short
// timeouts and small size limits, so a caller that connects and never finishes its call occupies only one goroutine.
package console

import (
	"cmp"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	stdlog "log"
	"maps"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/sirupsen/logrus"
)

const (
	// headTimeout and bodyTimeout bound the time that a caller may take to send the head and the body of its request.
	// The connection of a caller that takes longer is closed.
	headTimeout = 500 * time.Millisecond
	bodyTimeout = 500 * time.Millisecond
	// responseTimeout bounds the time that a caller may take to read the response.
	responseTimeout = 500 * time.Millisecond
	maxHead         = 4 << 10 // bytes of a request's head
	// maxID is the greatest length of a body with a runner's id, in bytes. Discovery's names are far shorter.
	maxID = 256
)

// ErrUnknownRunner is returned for a runner that is neither listed nor disabled.
var ErrUnknownRunner = errors.New("no runner has this id")

// Operations carries out the calls. Its methods are called concurrently and must not block.
type Operations interface {
	// Ready reports whether this process is ready to serve clients, and returns the reason if it is not.
	Ready() (bool, string)
	// Drain makes Ready report false and closes clients' connections, until Undrain. Requests are still served.
	Drain()
	Undrain()
	// Disable stops sending requests to a runner until Enable. For an unknown id the error wraps ErrUnknownRunner.
	Disable(id string) error
	Enable(id string) error
	// GivenUp returns by reason how many requests were given up before a runner got them, since the process started.
	GivenUp() map[string]int64
	// Reloads returns one line with the numbers of configuration files that were accepted and refused at SIGHUP, and
	// the error of the last refused one.
	Reloads() string
	// Fleet returns this dispatcher's view of the fleet, to be encoded as JSON; nil if it takes part in no fleet.
	Fleet() any
}

// Server serves the operators' calls. New creates one.
type Server struct {
	http http.Server
	ops  Operations
	log  logrus.FieldLogger
}

// New returns a console that carries out its calls by ops.
func New(ops Operations, log *logrus.Logger) *Server {
	s := &Server{ops: ops, log: log}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /ready", s.ready)
	mux.HandleFunc("GET /givenup", s.givenUp)
	mux.HandleFunc("GET /reloads", func(w http.ResponseWriter, _ *http.Request) { writeText(w, http.StatusOK, ops.Reloads()) })
	mux.HandleFunc("GET /fleet", s.fleet)
	mux.HandleFunc("POST /drain", s.drain)
	mux.HandleFunc("POST /undrain", s.undrain)
	mux.HandleFunc("POST /runners/disable", s.runner(ops.Disable, "disabled"))
	mux.HandleFunc("POST /runners/enable", s.runner(ops.Enable, "enabled"))
	mux.HandleFunc("/", func(w http.ResponseWriter, r *http.Request) {
		writeText(w, http.StatusNotFound, fmt.Sprintf("%s %s: no such call", r.Method, r.URL.Path))
	})
	s.http = http.Server{Handler: checkMethod(mux), ReadHeaderTimeout: headTimeout, ReadTimeout: headTimeout + bodyTimeout,
		WriteTimeout: headTimeout + bodyTimeout + responseTimeout, IdleTimeout: headTimeout, MaxHeaderBytes: maxHead,
		ErrorLog: stdlog.New(log.WriterLevel(logrus.DebugLevel), "", 0), Protocols: new(http.Protocols)}
	s.http.Protocols.SetHTTP1(true)
	s.http.SetKeepAlivesEnabled(false) // one call per connection
	return s
}

// Serve serves calls from l until Close, then returns nil. An error says why serving has failed.
func (s *Server) Serve(l net.Listener) error {
	if err := s.http.Serve(l); !errors.Is(err, http.ErrServerClosed) {
		return fmt.Errorf("serving the console: %w", err)
	}
	return nil
}

// Close closes the listener and all connections at once; calls in progress get no response.
func (s *Server) Close() error { return s.http.Close() }

// checkMethod responds with 405, the header Allow and one line of text to a call of a known path with the wrong method. It
// passes all other calls to mux.
func checkMethod(mux *http.ServeMux) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		h, pattern := mux.Handler(r)
		if pattern == "/" {
			for _, m := range []string{http.MethodGet, http.MethodPost} {
				probe := r.Clone(r.Context())
				probe.Method = m
				if _, p := mux.Handler(probe); p != "/" {
					w.Header().Set("Allow", m)
					writeText(w, http.StatusMethodNotAllowed, fmt.Sprintf("%s %s: only %s is allowed", r.Method, r.URL.Path, m))
					return
				}
			}
		}
		h.ServeHTTP(w, r)
	})
}

func (s *Server) fleet(w http.ResponseWriter, _ *http.Request) {
	view := s.ops.Fleet()
	if view == nil {
		writeText(w, http.StatusNotFound, "this dispatcher is in no fleet: it was started without --fleet")
		return
	}
	body, err := json.MarshalIndent(view, "", "  ")
	if err != nil {
		writeText(w, http.StatusInternalServerError, err.Error())
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(append(body, '\n')) // a caller that has disconnected needs no response
}

func (s *Server) ready(w http.ResponseWriter, _ *http.Request) {
	if ok, why := s.ops.Ready(); !ok {
		writeText(w, http.StatusServiceUnavailable, "not ready: "+why)
		return
	}
	writeText(w, http.StatusOK, "ready")
}

// givenUp writes one line for each reason with its count, the most frequent first, and a last line with the total.
func (s *Server) givenUp(w http.ResponseWriter, _ *http.Request) {
	counts := s.ops.GivenUp()
	reasons := slices.Collect(maps.Keys(counts))
	slices.SortFunc(reasons, func(a, b string) int {
		return cmp.Or(cmp.Compare(counts[b], counts[a]), cmp.Compare(a, b))
	})
	var b strings.Builder
	var all int64
	for _, r := range reasons {
		fmt.Fprintf(&b, "%d %s\n", counts[r], r)
		all += counts[r]
	}
	fmt.Fprintf(&b, "%d in all", all)
	writeText(w, http.StatusOK, b.String())
}

func (s *Server) drain(w http.ResponseWriter, _ *http.Request) {
	s.ops.Drain()
	s.log.Info("console: drain")
	writeText(w, http.StatusOK, "draining")
}

func (s *Server) undrain(w http.ResponseWriter, _ *http.Request) {
	s.ops.Undrain()
	s.log.Info("console: undrain")
	writeText(w, http.StatusOK, "back to work")
}

// runner returns a handler that calls op with the runner's id from the body. done is the result, as the response names it.
func (s *Server) runner(op func(string) error, done string) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		id, status, fault := readID(r)
		if fault != "" {
			writeText(w, status, fault)
			return
		}
		if err := op(id); err != nil {
			status := http.StatusConflict
			if errors.Is(err, ErrUnknownRunner) {
				status = http.StatusNotFound
			}
			writeText(w, status, fmt.Sprintf("runner %q: %v", id, err))
			return
		}
		s.log.WithField("runner", id).Infof("console: runner %s", done)
		writeText(w, http.StatusOK, fmt.Sprintf("runner %q %s", id, done))
	}
}

// readID reads a body that consists of a runner's id, with optional white space around it. If fault is not empty, the call
// is invalid, and status and fault are the response.
func readID(r *http.Request) (id string, status int, fault string) {
	if r.ContentLength > maxID {
		return "", http.StatusRequestEntityTooLarge, fmt.Sprintf("body: %d bytes, over %d for an id", r.ContentLength, maxID)
	}
	b, err := io.ReadAll(io.LimitReader(r.Body, maxID+1))
	switch {
	case err != nil:
		return "", http.StatusBadRequest, "body: could not be read to its end: " + err.Error()
	case len(b) > maxID:
		return "", http.StatusRequestEntityTooLarge, fmt.Sprintf("body: over %d bytes for an id", maxID)
	}
	id = strings.TrimSpace(string(b))
	switch {
	case id == "":
		return "", http.StatusBadRequest, "body: is empty; it must be a runner's id"
	case strings.ContainsAny(id, " \t\r\n"):
		return "", http.StatusBadRequest, "body: " + strconv.Quote(id) + " is more than one id"
	}
	return id, 0, ""
}

// writeText writes a response with one line of text.
func writeText(w http.ResponseWriter, status int, line string) {
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	w.Header().Set("Content-Length", strconv.Itoa(len(line)+1))
	w.WriteHeader(status)
	_, _ = io.WriteString(w, line+"\n")
}
