package ingress

import (
	"fmt"
	"math"
	"net/http"
	"strconv"
	"strings"
	"time"

	"ospreypond/internal/exchange"
)

// maxWait bounds what clients say they wait for, so that it adds to any time of day.
const maxWait = time.Hour

// badHeader is a request that cannot be understood; it names the header at fault.
type badHeader struct{ name, why string }

func (e *badHeader) Error() string { return e.name + ": " + e.why }

// parse reads a request's line and headers. Its body and the times are the caller's to fill in; wait is how
// long the client waits from its sending on.
func parse(r *http.Request) (req *exchange.Request, wait time.Duration, err error) {
	class, _, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, "/"), "/")
	h := r.Header
	req = &exchange.Request{ID: h.Get("X-Request-ID"), Class: class, Tenant: h.Get("X-Tenant-Id"), Slots: 1,
		Method: r.Method, Target: r.RequestURI, Key: h.Get("X-Route-Key"),
		IdempotencyKey: h.Get("Idempotency-Key"), ContentType: h.Get("Content-Type")}
	if req.ID == "" {
		return nil, 0, &badHeader{"X-Request-ID", "is missing"}
	}
	if wait, err = parseWait(h.Get("X-Timeout")); err != nil {
		return nil, 0, &badHeader{"X-Timeout", err.Error()}
	}
	if s := h.Get("X-Cost"); s != "" {
		us, err := strconv.ParseFloat(s, 64)
		if err != nil || !(us >= 0) {
			return nil, 0, &badHeader{"X-Cost", fmt.Sprintf("%q is not a number of microseconds", s)}
		}
		req.Work = time.Duration(min(us, float64(maxWait/time.Microsecond))) * time.Microsecond
	}
	switch s := h.Get("X-Retried"); s {
	case "", "0":
	case "1":
		req.Retry = true
	default:
		return nil, 0, &badHeader{"X-Retried", fmt.Sprintf("%q is neither 0 nor 1", s)}
	}
	if err := parseAttrs(req, h.Get("X-Attrs")); err != nil {
		return nil, 0, &badHeader{"X-Attrs", err.Error()}
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
	n, err := strconv.ParseFloat(s[:len(s)-1], 64)
	if err != nil || !(n >= 0) {
		return 0, fmt.Errorf("%q is not a time", s)
	}
	return time.Duration(min(n, float64(maxWait/unit)) * float64(unit)), nil
}

// parseAttrs reads the further figures, name=value set apart by commas. Names that are not known are skipped.
func parseAttrs(req *exchange.Request, s string) error {
	for part := range strings.SplitSeq(s, ",") {
		name, value, ok := strings.Cut(strings.TrimSpace(part), "=")
		var to *float64
		switch name {
		case "slots", "needs":
			to = &req.Slots
		case "memory", "memNeeded":
			to = &req.Memory
		}
		if to == nil {
			continue
		}
		x, err := strconv.ParseFloat(value, 64)
		if !ok || err != nil || !(x >= 0) || math.IsInf(x, 0) {
			return fmt.Errorf("%s: %q is not a number", name, value)
		}
		*to = x
	}
	return nil
}
