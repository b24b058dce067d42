// Package registertest is a fake register in memory, with faults: it answers slowly, not at all, or applies a write and loses the
// answer. It logs the writes that took effect.
package registertest

import (
	"crypto/sha256"
	"encoding/base64"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"

	"ospreypond/internal/dispatcher/gang"
)

// Effect is one write of a record that took effect.
type Effect struct {
	Gang    string
	Version int
	Record  gang.Record
}

// Register serves the register's calls over HTTP. It is safe for concurrent use.
type Register struct {
	// Fault is called before and after a call is applied, and reports whether the connection is aborted then. nil: no faults.
	Fault func(r *http.Request, after bool) (lost bool)

	mu      sync.Mutex
	records map[string]Effect
	saves   map[string][]string // digests by member
	log     []Effect
	count   int
}

// New returns an empty register.
func New() *Register {
	return &Register{records: map[string]Effect{}, saves: map[string][]string{}}
}

// Log returns all writes of records that took effect, in order.
func (g *Register) Log() []Effect {
	g.mu.Lock()
	defer g.mu.Unlock()
	return append([]Effect(nil), g.log...)
}

// ServeHTTP serves a call as a register does, unless Fault aborts it.
func (g *Register) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(io.LimitReader(r.Body, 64<<20))
	if err != nil {
		return
	}
	if g.Fault != nil && g.Fault(r, false) {
		panic(http.ErrAbortHandler)
	}
	status, header, answer := g.handle(r, body)
	if g.Fault != nil && g.Fault(r, true) {
		panic(http.ErrAbortHandler) // it took effect, and the answer is lost
	}
	for k, v := range header {
		w.Header().Set(k, v)
	}
	w.WriteHeader(status)
	if answer != nil {
		_ = json.NewEncoder(w).Encode(answer)
	}
}

func etag(version int) string { return fmt.Sprintf("%q", strconv.Itoa(version)) }

func (g *Register) handle(r *http.Request, body []byte) (int, map[string]string, any) {
	g.mu.Lock()
	defer g.mu.Unlock()
	parts := strings.Split(strings.TrimPrefix(r.URL.Path, "/gangs"), "/")
	switch {
	case len(parts) == 1 && r.Method == http.MethodGet:
		all := map[string]string{}
		for n, e := range g.records {
			all[n] = etag(e.Version)
		}
		return http.StatusOK, nil, map[string]any{"gangs": all}
	case len(parts) == 2 && r.Method == http.MethodGet:
		e, there := g.records[parts[1]]
		if !there {
			return http.StatusNotFound, nil, nil
		}
		return http.StatusOK, map[string]string{"ETag": etag(e.Version)}, e.Record
	case len(parts) == 2 && r.Method == http.MethodPut:
		return g.put(r, parts[1], body)
	case len(parts) == 4 && r.Method == http.MethodGet:
		return http.StatusOK, nil, map[string]any{"parts": g.saves[parts[1]+"/"+parts[3]]}
	case len(parts) == 5 && r.Method == http.MethodPut:
		return g.putPart(r, parts, body)
	}
	return http.StatusMethodNotAllowed, nil, nil
}

func (g *Register) put(r *http.Request, name string, body []byte) (int, map[string]string, any) {
	e, exists := g.records[name]
	match, none := r.Header.Get("If-Match"), r.Header.Get("If-None-Match")
	if match == "" && none != "*" {
		return http.StatusPreconditionRequired, nil, nil
	}
	if none == "*" && exists || match != "" && (!exists || match != etag(e.Version)) {
		return http.StatusPreconditionFailed, nil, nil
	}
	var rec gang.Record
	if json.Unmarshal(body, &rec) != nil {
		return http.StatusBadRequest, nil, nil
	}
	g.count++
	e = Effect{name, g.count, rec}
	g.records[name], g.log = e, append(g.log, e)
	return http.StatusOK, map[string]string{"ETag": etag(e.Version)}, nil
}

// Digest returns a part's Content-Digest (RFC 9530).
func Digest(part []byte) string {
	sum := sha256.Sum256(part)
	return "sha-256=:" + base64.StdEncoding.EncodeToString(sum[:]) + ":"
}

func (g *Register) putPart(r *http.Request, parts []string, body []byte) (int, map[string]string, any) {
	e, there := g.records[parts[1]]
	member, err := strconv.Atoi(parts[4])
	if !there || err != nil || member < 0 || member >= len(e.Record.Needs) || r.Header.Get("If-None-Match") != "*" {
		return http.StatusBadRequest, nil, nil
	}
	if r.Header.Get("Content-Digest") != Digest(body) { // truncated or damaged in transit
		return http.StatusUnprocessableEntity, nil, nil
	}
	k := parts[1] + "/" + parts[3]
	if g.saves[k] == nil {
		g.saves[k] = make([]string, len(e.Record.Needs))
	}
	if g.saves[k][member] != "" {
		return http.StatusPreconditionFailed, nil, nil
	}
	g.saves[k][member] = Digest(body)
	return http.StatusCreated, nil, nil
}
