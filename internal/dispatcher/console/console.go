// Package console is the operators' own address: a second HTTP/1.1 listener, apart from the clients', with one
// call to a connection. A 2xx answer is yes, any 4xx or 5xx no.
//
// Every call is answered from state that the caller's goroutine can read or change at once; none waits for the
// coordinator, so a busy dispatcher still answers its operators within their second. The server has its own tight
// limits, so that callers who connect and never finish hold only their own goroutine.
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
	// headLimit and bodyLimit bound how long a caller may take to send its call: one that never finishes is
	// cut off, while the others are served beside it.
	headLimit = 500 * time.Millisecond
	bodyLimit = 500 * time.Millisecond
	// answerLimit is for a caller to take its answer.
	answerLimit = 500 * time.Millisecond
	maxHead     = 4 << 10
	// maxID bounds a runner's id in a body. Discovery's names are far shorter.
	maxID = 256
)

// ErrUnknown is for a runner that no list names and that is not disabled.
var ErrUnknown = errors.New("no runner has this id")

// Operations are what the calls do. Each must return at once.
type Operations interface {
	// Ready tells whether this process is ready to serve, and if not, why not.
	Ready() (bool, string)
	Drain()
	Undrain()
	// Disable takes a runner out, Enable lets it serve again; an error wraps ErrUnknown for an id nobody has.
	Disable(id string) error
	Enable(id string) error
	// GivenUp returns how many requests were given up before a runner saw them, by reason, since the start.
	GivenUp() map[string]int64
	// Reloads tells in one line how many configuration files were taken and refused at SIGHUP, and why the last was.
	Reloads() string
	// Fleet returns what there is to tell of the fleet, for JSON; nil where this dispatcher is in none.
	Fleet() any
}

// Server answers the operators' calls.
type Server struct {
	http http.Server
	ops  Operations
	log  logrus.FieldLogger
}

// New returns a console on ops.
func New(ops Operations, log *logrus.Logger) *Server {
	s := &Server{ops: ops, log: log}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /ready", s.ready)
	mux.HandleFunc("GET /givenup", s.givenUp)
	mux.HandleFunc("GET /reloads", func(w http.ResponseWriter, _ *http.Request) { text(w, http.StatusOK, ops.Reloads()) })
	mux.HandleFunc("GET /fleet", s.fleet)
	mux.HandleFunc("POST /drain", s.drain)
	mux.HandleFunc("POST /undrain", s.undrain)
	mux.HandleFunc("POST /runners/disable", s.runner(ops.Disable, "disabled"))
	mux.HandleFunc("POST /runners/enable", s.runner(ops.Enable, "enabled"))
	mux.HandleFunc("/", func(w http.ResponseWriter, r *http.Request) {
		text(w, http.StatusNotFound, fmt.Sprintf("%s %s: no such call", r.Method, r.URL.Path))
	})
	s.http = http.Server{Handler: guard(mux), ReadHeaderTimeout: headLimit, ReadTimeout: headLimit + bodyLimit,
		WriteTimeout: headLimit + bodyLimit + answerLimit, IdleTimeout: headLimit, MaxHeaderBytes: maxHead,
		ErrorLog: stdlog.New(log.WriterLevel(logrus.DebugLevel), "", 0), Protocols: new(http.Protocols)}
	s.http.Protocols.SetHTTP1(true)
	s.http.SetKeepAlivesEnabled(false) // one call to a connection
	return s
}

// Serve answers calls from l until Close.
func (s *Server) Serve(l net.Listener) error {
	if err := s.http.Serve(l); !errors.Is(err, http.ErrServerClosed) {
		return fmt.Errorf("serving the console: %w", err)
	}
	return nil
}

// Close stops the console at once: a call under way is cut off, as the process ends.
func (s *Server) Close() error { return s.http.Close() }

// guard answers a wrong method on a known path with 405 that names the one allowed, in one line of text.
func guard(mux *http.ServeMux) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		h, pattern := mux.Handler(r)
		if pattern == "/" {
			for _, m := range []string{http.MethodGet, http.MethodPost} {
				probe := r.Clone(r.Context())
				probe.Method = m
				if _, p := mux.Handler(probe); p != "/" {
					w.Header().Set("Allow", m)
					text(w, http.StatusMethodNotAllowed, fmt.Sprintf("%s %s: only %s is allowed", r.Method, r.URL.Path, m))
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
		text(w, http.StatusNotFound, "this dispatcher is in no fleet: it was started without --fleet")
		return
	}
	body, err := json.MarshalIndent(view, "", "  ")
	if err != nil {
		text(w, http.StatusInternalServerError, err.Error())
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(append(body, '\n')) // a caller that has gone needs no answer
}

func (s *Server) ready(w http.ResponseWriter, _ *http.Request) {
	if ok, why := s.ops.Ready(); !ok {
		text(w, http.StatusServiceUnavailable, "not ready: "+why)
		return
	}
	text(w, http.StatusOK, "ready")
}

// givenUp writes a line for each reason, its count and its name, the most frequent first, and last their total.
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
	text(w, http.StatusOK, b.String())
}

func (s *Server) drain(w http.ResponseWriter, _ *http.Request) {
	s.ops.Drain()
	s.log.Info("console: drain")
	text(w, http.StatusOK, "draining")
}

func (s *Server) undrain(w http.ResponseWriter, _ *http.Request) {
	s.ops.Undrain()
	s.log.Info("console: undrain")
	text(w, http.StatusOK, "back to work")
}

func (s *Server) runner(op func(string) error, done string) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		id, status, fault := readID(r)
		if fault != "" {
			text(w, status, fault)
			return
		}
		if err := op(id); err != nil {
			status := http.StatusConflict
			if errors.Is(err, ErrUnknown) {
				status = http.StatusNotFound
			}
			text(w, status, fmt.Sprintf("runner %q: %v", id, err))
			return
		}
		s.log.WithField("runner", id).Infof("console: runner %s", done)
		text(w, http.StatusOK, fmt.Sprintf("runner %q %s", id, done))
	}
}

// readID reads a body that is a runner's id alone; white space round it is no part of it.
func readID(r *http.Request) (id string, status int, fault string) {
	if r.ContentLength > maxID {
		return "", http.StatusRequestEntityTooLarge, fmt.Sprintf("body: %d bytes, over %d for an id", r.ContentLength, maxID)
	}
	b, err := io.ReadAll(io.LimitReader(r.Body, maxID+1))
	switch {
	case err != nil:
		return "", http.StatusBadRequest, "body: broke off: " + err.Error()
	case len(b) > maxID:
		return "", http.StatusRequestEntityTooLarge, fmt.Sprintf("body: over %d bytes for an id", maxID)
	}
	id = strings.TrimSpace(string(b))
	switch {
	case id == "":
		return "", http.StatusBadRequest, "body: is empty; it is the runner's id"
	case strings.ContainsAny(id, " \t\r\n"):
		return "", http.StatusBadRequest, "body: " + strconv.Quote(id) + " is more than one id"
	}
	return id, 0, ""
}

// text writes a short answer of one line.
func text(w http.ResponseWriter, status int, line string) {
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	w.Header().Set("Content-Length", strconv.Itoa(len(line)+1))
	w.WriteHeader(status)
	_, _ = io.WriteString(w, line+"\n")
}
