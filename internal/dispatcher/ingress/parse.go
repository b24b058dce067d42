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
	maxTimeout = time.Hour // bounds X-Timeout and X-Cost; no client waits that long
	maxSlots   = 1 << 10   // bounds the slots of a request; no runner has that many
	maxID      = 128       // bytes in X-Request-ID and in Idempotency-Key
)

// requestError says why a request is not accepted. The client gets its status and text.
type requestError struct {
	status          int    // of the response
	header, problem string // header is the name of the invalid header; empty: the problem is not in a header
	countAs         string // the give-up reason, a constant in giveup.go; empty: badHeaderPrefix and the header's name
}

// giveUpReason returns the reason under which GiveUps counts the request.
func (e *requestError) giveUpReason() string {
	if e.countAs != "" {
		return e.countAs
	}
	return badHeaderPrefix + e.header
}

// Error returns the header's name, if a header is invalid, and the problem.
func (e *requestError) Error() string {
	if e.header == "" {
		return e.problem
	}
	return e.header + ": " + e.problem
}

// badHeader returns the error for a request with an invalid header.
func badHeader(name, format string, args ...any) *requestError {
	return &requestError{http.StatusBadRequest, name, fmt.Sprintf(format, args...), ""}
}

// idPattern matches the ids that are accepted. They are forwarded in headers and logged, so only printable characters
// without a special meaning there are allowed. numberPattern matches plain decimal numbers. strconv.ParseFloat alone would
// also accept Inf, 1e9, hexadecimal numbers and underscores.
var (
	idPattern     = regexp.MustCompile(`^[0-9A-Za-z._~:+/=-]+$`)
	numberPattern = regexp.MustCompile(`^[0-9]{1,15}(\.[0-9]{1,9})?$`)
)

// parseNumber parses a decimal number that numberPattern matches.
func parseNumber(s string) (x float64, ok bool) {
	if !numberPattern.MatchString(s) {
		return 0, false
	}
	x, err := strconv.ParseFloat(s, 64)
	return x, err == nil
}

// singleHeaders are the headers that must not be repeated. If one is sent twice, the dispatcher and a runner may each use
// another of the two values.
var singleHeaders = []string{"X-Request-ID", "X-Tenant-Id", "X-Route-Key", "X-Timeout", "Idempotency-Key", "X-Retried", "X-Cost",
	"X-Attrs", "Content-Type"}

// parseHead parses a request's line and headers. The caller sets the request's body and times. timeout is the value of
// X-Timeout, which counts from when the request is read completely. chunked is whether a chunked body may be read.
func (s *Server) parseHead(r *http.Request, chunked bool) (req *coordinator.Request, timeout time.Duration, fault *requestError) {
	// Prevents request smuggling. A request with Transfer-Encoding may also have a Content-Length, which net/http removes
	// before it calls the handler. So chunked comes from framing, which parses the raw head.
	if len(r.TransferEncoding) > 0 && !chunked {
		return nil, 0, &requestError{http.StatusBadRequest, "Transfer-Encoding",
			"not allowed together with Content-Length, or the request's head could not be parsed", ambiguousFraming}
	}
	if r.Method != http.MethodPost {
		return nil, 0, &requestError{http.StatusMethodNotAllowed, "", "the method is not POST", badMethod}
	}
	class, _, _ := strings.Cut(strings.TrimPrefix(r.URL.EscapedPath(), "/"), "/")
	if !s.rules.Load().classes[class] {
		return nil, 0, &requestError{http.StatusNotFound, "", fmt.Sprintf("no class %q", class), unknownClass}
	}
	// Runners get the target unchanged, so every parser must read it alike.
	if r.RequestURI != r.URL.RequestURI() || strings.ContainsAny(r.RequestURI, "#\\") {
		return nil, 0, &requestError{http.StatusBadRequest, "", "the request target is not a path and query in their normal form", badTarget}
	}
	h := r.Header
	for _, name := range singleHeaders {
		if len(h.Values(name)) > 1 {
			return nil, 0, badHeader(name, "is sent %d times, but only one is allowed", len(h.Values(name)))
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
			return nil, 0, badHeader(name, "is not an id: only letters, digits and ._~:+/=- are allowed, and at most 128 bytes")
		}
	}
	// A request without a known tenant would count against no tenant's allowance, and the decision module would treat it
	// as within its allowance.
	if n := s.rules.Load(); len(n.tenants) > 0 && !n.tenants[req.Tenant] {
		return nil, 0, badHeader("X-Tenant-Id", "%q is not a tenant of the settings", req.Tenant)
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

// parseFigures parses the headers for the request's work (X-Cost), needs (X-Attrs) and whether it is a retry (X-Retried).
func parseFigures(req *coordinator.Request, h http.Header) *requestError {
	if c := h.Get("X-Cost"); c != "" {
		us, ok := parseNumber(c)
		if !ok || us > float64(maxTimeout/time.Microsecond) {
			return badHeader("X-Cost", "%q is not a decimal number of microseconds of at most one hour", c)
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

// parseTimeout parses the value of X-Timeout: a decimal number followed by its unit, m for milliseconds or u for
// microseconds.
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
		return 0, fmt.Errorf("%q does not end in its unit, m (milliseconds) or u (microseconds)", s)
	}
	n, ok := parseNumber(s[:len(s)-1])
	if !ok || n > float64(maxTimeout/unit) {
		return 0, fmt.Errorf("%q is not a decimal number with a unit, of at most one hour", s)
	}
	return time.Duration(n * float64(unit)), nil
}

// parseAttrs parses the value of X-Attrs: fields of the form name=value, separated by commas. It skips unknown names.
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
			return fmt.Errorf("%s: %q is not a decimal number, or is over its limit", name, value)
		}
		*to = x
	}
	return nil
}
