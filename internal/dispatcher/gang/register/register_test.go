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

func record(name, writeID string) *gang.Record {
	need := gang.Need{Class: "c", Slots: 1, Work: time.Minute}
	return &gang.Record{Name: name, Phase: gang.Waiting, Needs: []gang.Need{need, need}, WriteID: writeID}
}

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

// A call without a usable answer returns an *Error that names it; the outcome of a write is unknown then.
func TestErrors(t *testing.T) {
	for name, do := range map[string]http.HandlerFunc{
		"down":      func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) },
		"error":     func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusInternalServerError) },
		"no json":   func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte("{")) },
		"no answer": func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() },
		"huge":      func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write(bytes.Repeat([]byte(" "), maxList+1)) },
		"no etag":   func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte("{}")) },
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

type input struct {
	isPut     bool
	writeID   string
	ifVersion gang.Version
}

type output struct {
	outcome gang.Outcome
	version gang.Version
	writeID string
}

type recordState struct {
	version gang.Version
	writeID string
}

// model is one record: a write takes effect if the record has the version that it names. The new version is known from its answer,
// or if that was lost from a later read: until then it is "?".
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
		return []any{s, recordState{"?", i.writeID}} // unknown: it took effect or not
	},
	Equal: func(a, b any) bool { return a.(recordState) == b.(recordState) },
}

// history is what clients did with one record and what came of it.
type history struct {
	began time.Time
	mu    sync.Mutex
	ops   []porcupine.Operation
}

func (h *history) add(client int, in input, out output, call, end time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.ops = append(h.ops, porcupine.Operation{ClientId: client, Input: in, Output: out, Call: int64(call), Return: int64(end)})
}

// use reads and writes the record g by turns, and adds to the history each call that shows anything of it.
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
				continue // it shows nothing
			}
			out.version, out.writeID = v, r.WriteID
		}
		end := time.Since(h.began)
		if in.isPut && out.outcome == gang.Unknown {
			out.version, end = "", time.Hour // it may take effect at any time yet
		} else {
			version = out.version
		}
		h.add(client*100+n, in, out, call, end)
	}
}

// Histories of many writers through the real client, with answers lost before and after the effect, are linearizable as those of one
// record that changes by conditional writes alone.
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
