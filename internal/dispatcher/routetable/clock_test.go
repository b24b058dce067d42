package routetable

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"ospreypond/policy"
)

// The time when the platform treats the dispatcher as notified of a missed change follows from the last response, the start
// of the call in progress and the call's hold.
func TestWhenChangesCountAsNoticed(t *testing.T) {
	at := func(s float64) time.Time { return time.Unix(1000, 0).Add(time.Duration(s * float64(time.Second))) }
	for name, tt := range map[string]struct {
		response, call, hold float64 // seconds: of the last response, of the call's start (below 0: no call), of the hold
		noticed              float64 // seconds
	}{
		"without a call in progress":                          {1, -1, 0, 7},
		"with a call that is not held":                        {1, 1, 0, 7},
		"with a short hold":                                   {1, 1, 2, 7},
		"with the longest hold in use":                        {1, 1, 3.5, 7},
		"with a hold for which both rules give the same time": {1, 1, 4, 7},
		"with a longer hold, 2 s after its end":               {1, 1, 20, 23},
		"with a call some time after the response":            {1, 4, 3.5, 9.5},
		"with a late call that is not held":                   {1, 5, 0, 7},
	} {
		t.Run(name, func(t *testing.T) {
			var c watchClock
			c.responded(at(tt.response))
			if tt.call >= 0 {
				c.startCall(at(tt.call), time.Duration(tt.hold*float64(time.Second)))
			}
			assert.Equal(t, at(tt.noticed), c.noticedAt())
		})
	}
	var c watchClock
	c.startCall(at(3), 0)
	assert.Equal(t, at(9), c.noticedAt(), "before the first response the time counts from the first call")
}

// A call without a response is cancelled at least a second before the platform treats the dispatcher as notified of the
// changes that it missed, whatever the holds and responses before.
func TestHungCallsEndInTimeForAnother(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var c watchClock
		now := time.Unix(1000, 0)
		for range rapid.IntRange(1, 6).Draw(t, "calls") {
			hold := min(maxHold, time.Duration(rapid.Int64Range(0, int64(time.Minute)).Draw(t, "hold")))
			until := c.startCall(now, hold)
			if spare := c.noticedAt().Sub(until); spare < time.Second {
				t.Fatalf("a call with a hold of %v is cancelled only %v before", hold, spare)
			}
			now = now.Add(time.Duration(rapid.Int64Range(0, int64(hold)).Draw(t, "responds after")))
			c.responded(now)
		}
	})
}

// discardLogger returns a logger without output.
func discardLogger() *logrus.Logger {
	log := logrus.New()
	log.SetOutput(io.Discard)
	return log
}

// If discovery's version goes back, as after its restart, the full list is requested at once. The changes in the response
// refer to another list than the table's, and are not applied.
func TestVersionThatWentBackFetchesTheFullList(t *testing.T) {
	calls := make(chan string, 16)
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		calls <- r.URL.RawQuery
		switch {
		case r.URL.RawQuery == "":
			_, _ = io.WriteString(w, `{"seq":3,"whole":true,"hosts":[{"host":"b","dial":"x:1","health":"SERVING"}]}`)
		case r.URL.Query().Get("from") == "90":
			_, _ = io.WriteString(w, `{"seq":2,"whole":false,"hosts":[{"host":"c","dial":"x:2","health":"SERVING"}]}`)
		default:
			<-r.Context().Done()
		}
	}))
	defer srv.Close()
	table := New()
	table.Apply(&List{Seq: 90, Full: true, Hosts: []Host{{Host: "a", Dial: "x:0", Health: "SERVING"}}})
	events := make(chan policy.Event, 16)
	w := NewWatcher(table, srv.Listener.Addr().String(), time.Hour, 0, func(e policy.Event) { events <- e }, discardLogger())
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	go w.Run(ctx)
	w.Subscribe()
	assert.Equal(t, "from=90&hold_ms=0", <-calls)
	assert.Empty(t, <-calls, "the full list is requested")
	e := <-events
	assert.Equal(t, policy.ListReplaced, e.Kind)
	assert.Equal(t, "b", e.Members[0].Worker)
	for _, removed := range []string{"a", "c"} {
		_, ok := table.Lookup(removed)
		assert.False(t, ok, removed)
	}
	assert.Equal(t, fmt.Sprintf("from=3&hold_ms=%d", maxHold.Milliseconds()), <-calls)
}

// Where lists are pushed, the platform treats the dispatcher as notified of a drain once discovery is reachable again. So
// during an outage the watch is retried at intervals shorter than the dispatcher's time limit to follow a drain.
func TestPushedListIsRetriedWithinTheDrainGrace(t *testing.T) {
	const grace = 300 * time.Millisecond
	calls := make(chan time.Time, 1000)
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		calls <- time.Now()
		w.WriteHeader(http.StatusServiceUnavailable)
	}))
	defer srv.Close()
	w := NewWatcher(New(), srv.Listener.Addr().String(), time.Second, grace, func(policy.Event) {}, discardLogger())
	assert.Equal(t, grace/3, w.timing.Load().maxBackoff)
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	go w.Run(ctx)
	w.KeepOpen(true)
	last := <-calls
	for range 20 { // about 2 s; without the limit the intervals would grow to about a second
		at := <-calls
		require.Less(t, at.Sub(last), grace)
		last = at
	}
	select {
	case <-w.FirstList():
		t.Fatal("FirstList is closed although no list was sent")
	default:
	}
}

// While the receiver of events is busy, the next call is made and its response is applied to the table, so that a drain is
// not delayed. The queued events are passed on later, in order.
func TestBusyModuleDelaysNoDrain(t *testing.T) {
	const timeout = 20 * time.Second
	responses := make(chan string, 2)
	responses <- `{"seq":1,"whole":true,"hosts":[{"host":"a","dial":"x:1","health":"SERVING"}]}`
	responses <- `{"seq":2,"whole":false,"hosts":[{"host":"a","dial":"x:1","health":"DRAINING"}]}`
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		select {
		case response := <-responses:
			_, _ = io.WriteString(w, response)
		case <-r.Context().Done():
		}
	}))
	defer srv.Close()
	table := New()
	busy, noticed := make(chan struct{}), make(chan policy.Event, 16)
	w := NewWatcher(table, srv.Listener.Addr().String(), time.Hour, 0, func(e policy.Event) { <-busy; noticed <- e }, discardLogger())
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	go w.Run(ctx)
	w.Subscribe()
	require.Eventually(t, func() bool {
		r, ok := table.Lookup("a")
		return ok && r.State == policy.Draining
	}, timeout, time.Millisecond)
	select {
	case <-w.FirstList():
		t.Fatal("FirstList is closed before the first list was passed on")
	default:
	}
	close(busy)
	assert.Equal(t, policy.ListReplaced, (<-noticed).Kind)
	second := <-noticed
	assert.Equal(t, policy.ListChanged, second.Kind)
	assert.Equal(t, policy.Draining, second.Members[0].State)
	<-w.FirstList()
}
