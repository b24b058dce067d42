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

func record(name, mark string) *gang.Record {
	need := gang.Need{Class: "c", Slots: 1, Work: time.Minute}
	return &gang.Record{Name: name, Phase: gang.Waiting, Needs: []gang.Need{need, need}, WriteID: mark}
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
	assert.Equal(t, gang.Conflict, o, "there is one")
	r, got, err := c.Get(ctx, "g h")
	require.NoError(t, err)
	assert.Equal(t, v, got)
	assert.Equal(t, "1", r.WriteID)
}

// What is no answer to go by is an error of its type that names the call; a write that may have taken effect is unknown.
func TestFaultsAreNamed(t *testing.T) {
	for name, do := range map[string]http.HandlerFunc{
		"down":    func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) },
		"error":   func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusInternalServerError) },
		"no json": func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte("{")) },
		"silent":  func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() },
		"huge":    func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write(bytes.Repeat([]byte(" "), maxList+1)) },
		"no etag": func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte("{}")) },
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
	put   bool
	mark  string
	still gang.Version
}

type output struct {
	outcome gang.Outcome
	version gang.Version
	mark    string
}

type held struct {
	version gang.Version
	mark    string
}

// model is one record: a write takes effect if its version holds. What version it makes is told by its answer, or by whoever
// reads it later where that was lost: then it is "?" and the mark.
var model = porcupine.NondeterministicModel{
	Init: func() []any { return []any{held{}} },
	Step: func(state, in, out any) []any {
		s, i, o := state.(held), in.(input), out.(output)
		switch {
		case !i.put && (o.mark != s.mark || o.version != s.version && s.version != "?"):
			return nil
		case !i.put:
			return []any{held{o.version, o.mark}}
		case o.outcome == gang.Conflict && (s.version != i.still || s.version == "?"):
			return []any{s}
		case o.outcome == gang.Conflict:
			return nil
		case s.version != i.still && s.version != "?":
			if o.outcome == gang.Unknown {
				return []any{s}
			}
			return nil
		case o.outcome == gang.Written:
			return []any{held{o.version, i.mark}}
		}
		return []any{s, held{"?", i.mark}} // unknown: it took effect or not
	},
	Equal: func(a, b any) bool { return a.(held) == b.(held) },
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

// use reads and writes the record g by turns, and adds to the history what says anything of it.
func (h *history) use(ctx context.Context, c *Client, client int) {
	still := gang.Version("")
	for n := range 12 {
		in, out := input{put: n%2 == 1, mark: fmt.Sprint(client, "/", n), still: still}, output{}
		call := time.Since(h.began)
		if in.put {
			out.outcome, out.version, _ = c.Put(ctx, record("g", in.mark), still)
		} else {
			r, v, err := c.Get(ctx, "g")
			var fault *Error
			isAbsent := errors.As(err, &fault) && fault.Problem == "answered 404 Not Found"
			if err != nil && !isAbsent {
				continue // it says nothing
			}
			out.version, out.mark = v, r.WriteID
		}
		end := time.Since(h.began)
		if in.put && out.outcome == gang.Unknown {
			out.version, end = "", time.Hour // it may take effect at any time yet
		} else {
			still = out.version
		}
		h.add(client*100+n, in, out, call, end)
	}
}

// Histories of many writers through the real client, with answers lost before and after the effect, are those of one record that
// changes by conditional writes alone.
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
