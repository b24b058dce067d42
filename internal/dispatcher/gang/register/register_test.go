package register

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"ospreypond/internal/dispatcher/gang"
	"ospreypond/internal/dispatcher/gang/register/registertest"
)

// record returns a valid record of a waiting gang with two members.
func record(name, writeID string) *gang.Record {
	need := gang.Need{Class: "c", Slots: 1, Work: time.Minute}
	return &gang.Record{Name: name, Phase: gang.Waiting, Needs: []gang.Need{need, need}, WriteID: writeID}
}

// Put writes a record that doesn't exist and returns Conflict if it exists; Get returns the record and its version.
func TestCalls(t *testing.T) {
	reg := registertest.New()
	srv := httptest.NewServer(reg)
	defer srv.Close()
	c, ctx := New(srv.URL, time.Second), context.Background()
	o, v, err := c.Put(ctx, record("g h", "1"), "")
	require.NoError(t, err)
	require.Equal(t, gang.Written, o)
	o, _, err = c.Put(ctx, record("g h", "2"), "")
	require.NoError(t, err)
	assert.Equal(t, gang.Conflict, o, "the record exists")
	r, got, err := c.Get(ctx, "g h")
	require.NoError(t, err)
	assert.Equal(t, v, got)
	assert.Equal(t, "1", r.WriteID)
}

// A call without a usable answer returns an *Error that names the call. The outcome of a write is then Unknown.
func TestErrors(t *testing.T) {
	for name, do := range map[string]http.HandlerFunc{
		"connection aborted":           func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) },
		"status 500":                   func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusInternalServerError) },
		"invalid JSON":                 func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte("{")) },
		"no answer within the timeout": func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() },
		"answer too large":             func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write(bytes.Repeat([]byte(" "), maxList+1)) },
		"no ETag":                      func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte("{}")) },
	} {
		t.Run(name, func(t *testing.T) {
			srv := httptest.NewServer(do)
			defer srv.CloseClientConnections()
			c, ctx := New(srv.URL, 200*time.Millisecond), context.Background()
			_, _, err := c.Get(ctx, "g")
			var fault *Error
			require.ErrorAs(t, err, &fault)
			assert.Equal(t, "GET /gangs/g", fault.Call)
			assert.NotEmpty(t, fault.Fix)
			o, _, err := c.Put(ctx, record("g", "1"), `"1"`)
			require.ErrorAs(t, err, &fault)
			assert.Equal(t, gang.Unknown, o)
		})
	}
}

// input is a call of a history.
type input struct {
	isPut     bool
	writeID   string
	ifVersion gang.Version
}

// output is the answer to a call of a history.
type output struct {
	outcome gang.Outcome
	version gang.Version
	writeID string
}

// recordState is the state of the record in the model.
type recordState struct {
	version gang.Version
	writeID string
}

// model is a model of one record. A write takes effect if the record has the version that the write names. The new version is
// known from the answer of the write or, if that was lost, from a later read. Until then it is "?".
var model = porcupine.NondeterministicModel{
	Init: func() []any { return []any{recordState{}} },
	Step: func(state, in, out any) []any {
		s, i, o := state.(recordState), in.(input), out.(output)
		switch {
		case !i.isPut && (o.writeID != s.writeID || o.version != s.version && s.version != "?"):
			return nil
		case !i.isPut:
			return []any{recordState{o.version, o.writeID}}
		case o.outcome == gang.Conflict && (s.version != i.ifVersion || s.version == "?"):
			return []any{s}
		case o.outcome == gang.Conflict:
			return nil
		case s.version != i.ifVersion && s.version != "?":
			if o.outcome == gang.Unknown {
				return []any{s}
			}
			return nil
		case o.outcome == gang.Written:
			return []any{recordState{o.version, i.writeID}}
		}
		return []any{s, recordState{"?", i.writeID}} // Unknown: the write took effect or not
	},
	Equal: func(a, b any) bool { return a.(recordState) == b.(recordState) },
}

// history is the calls of clients for one record, with their answers.
type history struct {
	began time.Time
	mu    sync.Mutex
	ops   []porcupine.Operation
}

// add adds a call to the history, with the times of its start and end.
func (h *history) add(client int, in input, out output, call, end time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.ops = append(h.ops, porcupine.Operation{ClientId: client, Input: in, Output: out, Call: int64(call), Return: int64(end)})
}

// use reads and writes the record g alternately, and adds each call to the history, except for reads that failed.
func (h *history) use(ctx context.Context, c *Client, client int) {
	version := gang.Version("")
	for n := range 12 {
		in, out := input{isPut: n%2 == 1, writeID: fmt.Sprint(client, "/", n), ifVersion: version}, output{}
		call := time.Since(h.began)
		if in.isPut {
			out.outcome, out.version, _ = c.Put(ctx, record("g", in.writeID), version)
		} else {
			r, v, err := c.Get(ctx, "g")
			var fault *Error
			isAbsent := errors.As(err, &fault) && fault.Problem == "answered 404 Not Found"
			if err != nil && !isAbsent {
				continue // a failed read gives no information about the record
			}
			out.version, out.writeID = v, r.WriteID
		}
		end := time.Since(h.began)
		if in.isPut && out.outcome == gang.Unknown {
			out.version, end = "", time.Hour // the write may still take effect at any later time
		} else {
			version = out.version
		}
		h.add(client*100+n, in, out, call, end)
	}
}

// Histories of five clients, with connections aborted before and after a call takes effect, are linearizable with respect to
// a record that changes only by conditional writes.
func TestHistoriesAreLinearizable(t *testing.T) {
	for round := range 20 {
		var mu sync.Mutex
		rng := rand.New(rand.NewPCG(uint64(round), 1))
		reg := registertest.New()
		reg.Fault = func(*http.Request, bool) bool {
			mu.Lock()
			defer mu.Unlock()
			time.Sleep(time.Duration(rng.IntN(300)) * time.Microsecond)
			return rng.IntN(12) == 0
		}
		srv := httptest.NewServer(reg)
		c, h := New(srv.URL, time.Second), &history{began: time.Now()}
		var clients sync.WaitGroup
		for client := range 5 {
			clients.Go(func() { h.use(t.Context(), c, client) })
		}
		clients.Wait()
		srv.Close()
		require.Equal(t, porcupine.Ok, porcupine.CheckOperationsTimeout(model.ToModel(), h.ops, 20*time.Second), "round %d", round)
	}
}
