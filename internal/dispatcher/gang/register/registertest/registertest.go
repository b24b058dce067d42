// Package registertest has a fake register that keeps its data in memory. Tests can make it answer slowly or not, or apply a
// write and lose the answer. It logs the writes that took effect.
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

// Effect is a write of a record that took effect.
type Effect struct {
	Gang    string
	Version int
	Record  gang.Record
}

// Register is an HTTP handler that serves the calls of a register. It is safe for concurrent use.
type Register struct {
	// Fault is called before a call is applied, and again after it. It reports whether the connection is aborted at that
	// point. nil: no faults.
	Fault func(r *http.Request, after bool) (lost bool)

	mu      sync.Mutex
	records map[string]Effect
	saves   map[string][]string // by "GANG/GENERATION-NUMBER": the digests of the parts, by member
	log     []Effect
	count   int // number of writes that took effect; the newest version
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

// ServeHTTP serves a call, unless Fault aborts it.
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
		panic(http.ErrAbortHandler) // the call took effect, and the answer is lost
	}
	for k, v := range header {
		w.Header().Set(k, v)
	}
	w.WriteHeader(status)
	if answer != nil {
		_ = json.NewEncoder(w).Encode(answer)
	}
}

// etag returns the ETag of a version.
func etag(version int) string { return fmt.Sprintf("%q", strconv.Itoa(version)) }

// handle applies a call and returns the status, the headers and the body, to be encoded as JSON, of the answer.
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

// put applies the conditional write of a record.
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

// Digest returns the Content-Digest of a part (RFC 9530).
func Digest(part []byte) string {
	sum := sha256.Sum256(part)
	return "sha-256=:" + base64.StdEncoding.EncodeToString(sum[:]) + ":"
}

// putPart stores the digest of a part of a checkpoint, if the part is complete and was not written before.
func (g *Register) putPart(r *http.Request, parts []string, body []byte) (int, map[string]string, any) {
	e, there := g.records[parts[1]]
	member, err := strconv.Atoi(parts[4])
	if !there || err != nil || member < 0 || member >= len(e.Record.Needs) || r.Header.Get("If-None-Match") != "*" {
		return http.StatusBadRequest, nil, nil
	}
	if r.Header.Get("Content-Digest") != Digest(body) { // the part was truncated or damaged in transit
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
