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
	maxWait  = time.Hour // more than any client waits
	maxSlots = 1 << 10   // more than any runner has
	maxID    = 128
)

// badRequest is a request that cannot be understood or used; it names the header at fault, if it is one.
type badRequest struct {
	status    int
	name, why string
	kind      string // the reason it is counted for, one of the constants in giveup.go; empty: the header's name
}

// reason is what the request is counted as given up for.
func (e *badRequest) reason() string {
	if e.kind != "" {
		return e.kind
	}
	return headerField + e.name
}

func (e *badRequest) Error() string {
	if e.name == "" {
		return e.why
	}
	return e.name + ": " + e.why
}

func badHeader(name, format string, args ...any) *badRequest {
	return &badRequest{http.StatusBadRequest, name, fmt.Sprintf(format, args...), ""}
}

// plain matches what is passed on as an id: printable and nothing that a header or a log could choke on.
// number matches decimals only, as strconv also takes Inf, 1e9, hexadecimals and underscores.
var (
	plain  = regexp.MustCompile(`^[0-9A-Za-z._~:+/=-]+$`)
	number = regexp.MustCompile(`^[0-9]{1,15}(\.[0-9]{1,9})?$`)
)

func parseNumber(s string) (x float64, ok bool) {
	if !number.MatchString(s) {
		return 0, false
	}
	x, err := strconv.ParseFloat(s, 64)
	return x, err == nil
}

// once are the headers that tell something about a request. Which of two would count is a guess that a runner
// may make in another way.
var once = []string{"X-Request-ID", "X-Tenant-Id", "X-Route-Key", "X-Timeout", "Idempotency-Key", "X-Retried", "X-Cost",
	"X-Attrs", "Content-Type"}

// head reads a request's line and headers. Its body and the times are the caller's to fill in; wait is how
// long the client waits from its sending on. chunked tells whether the head on the wire allows a chunked body.
func (s *Server) head(r *http.Request, chunked bool) (req *coordinator.Request, wait time.Duration, fault *badRequest) {
	// Guards against a request hidden in the body of another: with Transfer-Encoding there may be a
	// Content-Length too, which net/http drops unseen, and the two may tell of different ends. framing saw
	// the head on the wire.
	if len(r.TransferEncoding) > 0 && !chunked {
		return nil, 0, &badRequest{http.StatusBadRequest, "Transfer-Encoding",
			"stands beside Content-Length, or the head was not whole on the wire", smuggled}
	}
	if r.Method != http.MethodPost {
		return nil, 0, &badRequest{http.StatusMethodNotAllowed, "", "jobs arrive by POST", method}
	}
	class, _, _ := strings.Cut(strings.TrimPrefix(r.URL.EscapedPath(), "/"), "/")
	if !s.names.Load().classes[class] {
		return nil, 0, &badRequest{http.StatusNotFound, "", fmt.Sprintf("no class %q", class), noClass}
	}
	// Runners get the target as it came: nothing that they could read in another way.
	if r.RequestURI != r.URL.RequestURI() || strings.ContainsAny(r.RequestURI, "#\\") {
		return nil, 0, &badRequest{http.StatusBadRequest, "", "the target is not a plain path and query", target}
	}
	h := r.Header
	for _, name := range once {
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
		if v != "" && (len(v) > maxID || !plain.MatchString(v)) {
			return nil, 0, badHeader(name, "is not an id")
		}
	}
	// Guards against traffic outside every tenant's allowance, which the module would take as inside one.
	if n := s.names.Load(); len(n.tenants) > 0 && !n.tenants[req.Tenant] {
		return nil, 0, badHeader("X-Tenant-Id", "%q is no tenant", req.Tenant)
	}
	var why error
	if wait, why = parseWait(h.Get("X-Timeout")); why != nil {
		return nil, 0, badHeader("X-Timeout", "%v", why)
	}
	if c := h.Get("X-Cost"); c != "" {
		us, ok := parseNumber(c)
		if !ok || us > float64(maxWait/time.Microsecond) {
			return nil, 0, badHeader("X-Cost", "%q is not a usable number of microseconds", c)
		}
		req.Work = time.Duration(us * float64(time.Microsecond))
	}
	switch c := h.Get("X-Retried"); c {
	case "", "0":
	case "1":
		req.Retry = true
	default:
		return nil, 0, badHeader("X-Retried", "%q is neither 0 nor 1", c)
	}
	if why = parseAttrs(req, h.Get("X-Attrs")); why != nil {
		return nil, 0, badHeader("X-Attrs", "%v", why)
	}
	return req, wait, nil
}

// parseWait reads a number followed by its unit, m for milliseconds or u for microseconds.
func parseWait(s string) (time.Duration, error) {
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
	if !ok || n > float64(maxWait/unit) {
		return 0, fmt.Errorf("%q is not a usable time", s)
	}
	return time.Duration(n * float64(unit)), nil
}

// parseAttrs reads the further figures, name=value set apart by commas. Names that are not known are skipped.
func parseAttrs(req *coordinator.Request, s string) error {
	for part := range strings.SplitSeq(s, ",") {
		name, value, ok := strings.Cut(strings.TrimSpace(part), "=")
		var to *float64
		most := float64(maxSlots)
		switch name {
		case "slots", "needs":
			to = &req.Slots
		case "memory", "memNeeded":
			to, most = &req.Memory, 1e9
		}
		if to == nil {
			continue
		}
		x, number := parseNumber(value)
		if !ok || !number || x > most {
			return fmt.Errorf("%s: %q is not a usable number", name, value)
		}
		*to = x
	}
	return nil
}
