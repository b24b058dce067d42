package ingress

import (
	"fmt"
	"net/http"
	"regexp"
	"strconv"
	"strings"
	"time"

	"ospreypond/internal/dispatcher/coordinator"
)

const (
	maxTimeout = time.Hour // more than any client waits
	maxSlots   = 1 << 10   // more than any runner has
	maxID      = 128
)

// requestError is why a request is not accepted, with the status of its response. It names the header at fault, if
// one is.
type requestError struct {
	status          int
	header, problem string
	countAs         string // the give-up reason, one of the constants in giveup.go; empty: the header's name
}

// giveUpReason returns the reason under which GiveUps counts the request.
func (e *requestError) giveUpReason() string {
	if e.countAs != "" {
		return e.countAs
	}
	return badHeaderPrefix + e.header
}

// Error names the header, if one is at fault, and the problem.
func (e *requestError) Error() string {
	if e.header == "" {
		return e.problem
	}
	return e.header + ": " + e.problem
}

func badHeader(name, format string, args ...any) *requestError {
	return &requestError{http.StatusBadRequest, name, fmt.Sprintf(format, args...), ""}
}

// idPattern matches ids that are forwarded: printable, and nothing that a header or log could misread. numberPattern
// matches decimals only, as strconv also accepts Inf, 1e9, hexadecimals and underscores.
var (
	idPattern     = regexp.MustCompile(`^[0-9A-Za-z._~:+/=-]+$`)
	numberPattern = regexp.MustCompile(`^[0-9]{1,15}(\.[0-9]{1,9})?$`)
)

func parseNumber(s string) (x float64, ok bool) {
	if !numberPattern.MatchString(s) {
		return 0, false
	}
	x, err := strconv.ParseFloat(s, 64)
	return x, err == nil
}

// singleHeaders are the headers that must not be repeated: which of two counts would be a guess, and a runner may
// guess differently.
var singleHeaders = []string{"X-Request-ID", "X-Tenant-Id", "X-Route-Key", "X-Timeout", "Idempotency-Key", "X-Retried", "X-Cost",
	"X-Attrs", "Content-Type"}

// parseHead parses a request's line and headers. The caller fills in its body and times; timeout is how long the
// client waits from its sending on. chunked is whether the head on the wire allows a chunked body.
func (s *Server) parseHead(r *http.Request, chunked bool) (req *coordinator.Request, timeout time.Duration, fault *requestError) {
	// Guards against request smuggling: with Transfer-Encoding there may be a Content-Length, which net/http drops
	// unseen. framing saw the head on the wire.
	if len(r.TransferEncoding) > 0 && !chunked {
		return nil, 0, &requestError{http.StatusBadRequest, "Transfer-Encoding",
			"stands beside Content-Length, or the head was not whole on the wire", ambiguousFraming}
	}
	if r.Method != http.MethodPost {
		return nil, 0, &requestError{http.StatusMethodNotAllowed, "", "jobs arrive by POST", badMethod}
	}
	class, _, _ := strings.Cut(strings.TrimPrefix(r.URL.EscapedPath(), "/"), "/")
	if !s.names.Load().classes[class] {
		return nil, 0, &requestError{http.StatusNotFound, "", fmt.Sprintf("no class %q", class), unknownClass}
	}
	// Runners get the target as it was sent: it must have one reading only.
	if r.RequestURI != r.URL.RequestURI() || strings.ContainsAny(r.RequestURI, "#\\") {
		return nil, 0, &requestError{http.StatusBadRequest, "", "the target is not a plain path and query", badTarget}
	}
	h := r.Header
	for _, name := range singleHeaders {
		if len(h.Values(name)) > 1 {
			return nil, 0, badHeader(name, "is there %d times", len(h.Values(name)))
		}
	}
	req = &coordinator.Request{ID: h.Get("X-Request-ID"), Class: class, Tenant: h.Get("X-Tenant-Id"), Slots: 1,
		Method: r.Method, Target: r.RequestURI, Key: h.Get("X-Route-Key"),
		IdempotencyKey: h.Get("Idempotency-Key"), ContentType: h.Get("Content-Type")}
	if req.ID == "" {
		return nil, 0, badHeader("X-Request-ID", "is missing")
	}
	for name, v := range map[string]string{"X-Request-ID": req.ID, "Idempotency-Key": req.IdempotencyKey} {
		if v != "" && (len(v) > maxID || !idPattern.MatchString(v)) {
			return nil, 0, badHeader(name, "is not an id")
		}
	}
	// Guards against requests that count against no tenant's allowance, which the module would take as within one.
	if n := s.names.Load(); len(n.tenants) > 0 && !n.tenants[req.Tenant] {
		return nil, 0, badHeader("X-Tenant-Id", "%q is no tenant", req.Tenant)
	}
	timeout, err := parseTimeout(h.Get("X-Timeout"))
	if err != nil {
		return nil, 0, badHeader("X-Timeout", "%v", err)
	}
	if fault := parseFigures(req, h); fault != nil {
		return nil, 0, fault
	}
	return req, timeout, nil
}

// parseFigures parses what the headers say of the request's work, needs and retries.
func parseFigures(req *coordinator.Request, h http.Header) *requestError {
	if c := h.Get("X-Cost"); c != "" {
		us, ok := parseNumber(c)
		if !ok || us > float64(maxTimeout/time.Microsecond) {
			return badHeader("X-Cost", "%q is not a usable number of microseconds", c)
		}
		req.Work = time.Duration(us * float64(time.Microsecond))
	}
	switch c := h.Get("X-Retried"); c {
	case "", "0":
	case "1":
		req.Retry = true
	default:
		return badHeader("X-Retried", "%q is neither 0 nor 1", c)
	}
	if err := parseAttrs(req, h.Get("X-Attrs")); err != nil {
		return badHeader("X-Attrs", "%v", err)
	}
	return nil
}

// parseTimeout parses a number followed by its unit, m for milliseconds or u for microseconds.
func parseTimeout(s string) (time.Duration, error) {
	if s == "" {
		return 0, fmt.Errorf("is missing")
	}
	unit := time.Millisecond
	switch s[len(s)-1] {
	case 'm':
	case 'u':
		unit = time.Microsecond
	default:
		return 0, fmt.Errorf("%q does not end in a unit, m or u", s)
	}
	n, ok := parseNumber(s[:len(s)-1])
	if !ok || n > float64(maxTimeout/unit) {
		return 0, fmt.Errorf("%q is not a usable time", s)
	}
	return time.Duration(n * float64(unit)), nil
}

// parseAttrs parses further figures, name=value separated by commas. Unknown names are skipped.
func parseAttrs(req *coordinator.Request, s string) error {
	for attr := range strings.SplitSeq(s, ",") {
		name, value, ok := strings.Cut(strings.TrimSpace(attr), "=")
		var to *float64
		limit := float64(maxSlots)
		switch name {
		case "slots", "needs":
			to = &req.Slots
		case "memory", "memNeeded":
			to, limit = &req.Memory, 1e9
		}
		if to == nil {
			continue
		}
		x, number := parseNumber(value)
		if !ok || !number || x > limit {
			return fmt.Errorf("%s: %q is not a usable number", name, value)
		}
		*to = x
	}
	return nil
}
