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

	"ospreypond/policy"
)

// Changes update the table's entries, and a full list replaces them.
func TestTableFollowsTheList(t *testing.T) {
	table := New()
	a := Host{Host: "a", Dial: "1.2.3.4:5", Site: "z", Class: "m", Block: 2, Health: "SERVING", BornMs: 7}
	b := Host{Host: "b", Dial: "1.2.3.4:6", Health: "SERVING"}
	got := table.Apply(&List{Seq: 3, Full: true, Hosts: []Host{a, b}})
	assert.Equal(t, policy.Member{Worker: "a", Zone: "z", Cell: 2, Kind: "m", Started: 7 * time.Millisecond}, got[0])
	assert.True(t, table.Open("a"))

	a.Health = "DRAINING"
	table.Apply(&List{Seq: 4, Hosts: []Host{a, {Host: "b", Health: "DELETED"}}})
	assert.False(t, table.Open("a"))
	_, ok := table.Lookup("a")
	assert.True(t, ok, "a draining runner stays in the table until its attempts have ended")
	_, ok = table.Lookup("b")
	assert.False(t, ok)
	assert.Equal(t, int64(4), table.Seq())

	table.Apply(&List{Seq: 5, Full: true, Hosts: []Host{b}})
	_, ok = table.Lookup("a")
	assert.False(t, ok, "a full list removes the runners that it does not name")
}

// The error for an invalid entry names its place in the list and its field.
func TestCheckNamesTheEntry(t *testing.T) {
	for want, h := range map[string]Host{
		"hosts[0].host":   {Dial: "x:1", Health: "SERVING"},
		"hosts[0].dial":   {Host: "a", Health: "SERVING"},
		"hosts[0].health": {Host: "a", Dial: "x:1", Health: "odd"},
	} {
		assert.ErrorContains(t, (&List{Hosts: []Host{h}}).Check(), want)
	}
	assert.NoError(t, (&List{Hosts: []Host{{Host: "a", Health: "DELETED"}}}).Check())
}

// The first call after a subscription is not held, so the subscription gets a response at once even if nothing changed.
// After a failed call ListUnavailable is passed on, and no call is made until the next subscription.
func TestWatch(t *testing.T) {
	calls := make(chan string, 16)
	fail := make(chan bool, 16)
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		calls <- r.URL.RawQuery
		select {
		case <-fail:
			w.WriteHeader(http.StatusServiceUnavailable)
		default:
			if r.URL.Query().Get("hold_ms") != "0" {
				<-r.Context().Done()
				return
			}
			_, _ = io.WriteString(w, `{"seq":9,"whole":false,"hosts":[]}`)
		}
	}))
	defer srv.Close()
	events := make(chan policy.Event, 16)
	log := logrus.New()
	log.SetOutput(io.Discard)
	w := NewWatcher(New(), srv.Listener.Addr().String(), 3*time.Second, 0, func(e policy.Event) { events <- e }, log)
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	go w.Run(ctx)

	fail <- true
	w.Subscribe()
	assert.Equal(t, "from=0&hold_ms=0", <-calls)
	assert.Equal(t, policy.ListUnavailable, (<-events).Kind)
	w.Subscribe()
	assert.Equal(t, "from=0&hold_ms=0", <-calls)
	assert.Equal(t, policy.ListChanged, (<-events).Kind)
	assert.Equal(t, "from=9&hold_ms=3000", <-calls, "the next call is made at once and is held")
}

// Where lists are pushed, the module doesn't subscribe. With KeepOpen(true) the watch is opened without a subscription, and
// reopened after a call hung or failed, until KeepOpen(false).
func TestPushedListsAreWatchedWithoutSubscription(t *testing.T) {
	calls := make(chan int, 64)
	n := 0
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		n++
		calls <- n
		switch n {
		case 1, 5:
			_, _ = io.WriteString(w, "{\n  \"seq\": 9,\n  \"whole\": false,\n  \"hosts\": [\n  ]\n}\n") // a list may be indented
		case 2: // hangs
			<-r.Context().Done()
		default:
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	}))
	defer srv.Close()
	events := make(chan policy.Event, 64)
	log := logrus.New()
	log.SetOutput(io.Discard)
	w := NewWatcher(New(), srv.Listener.Addr().String(), 10*time.Millisecond, 0, func(e policy.Event) { events <- e }, log)
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	go w.Run(ctx)
	w.KeepOpen(true)
	assert.Equal(t, policy.ListChanged, (<-events).Kind, "without a subscription")
	for range 3 {
		assert.Equal(t, policy.ListUnavailable, (<-events).Kind, "a call that hung, and then two that were refused")
	}
	assert.Equal(t, policy.ListChanged, (<-events).Kind, "the watch was reopened")
	w.KeepOpen(false)
	for len(calls) > 0 {
		<-calls
	}
	time.Sleep(2 * minRetryInterval)
	for len(calls) > 0 { // a retry that was scheduled before KeepOpen(false)
		<-calls
	}
	time.Sleep(3 * maxRetryInterval / 2)
	assert.Empty(t, calls)
}

// A call that gets no response, as in a partitioned network, is cancelled after its hold and callSlack.
func TestHungCallEnds(t *testing.T) {
	srv := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() }))
	defer srv.Close()
	w := NewWatcher(New(), srv.Listener.Addr().String(), time.Second, 0, nil, logrus.New())
	before := time.Now()
	_, err := w.call(context.Background(), newEndpoint(srv.Listener.Addr().String(), false), 0)
	require.ErrorIs(t, err, context.DeadlineExceeded)
	assert.GreaterOrEqual(t, time.Since(before), callSlack)
}

// SetAddress cancels a call that the old address holds, and requests the full list from the new one, as the versions of the
// two services are unrelated.
func TestSetAddressCancelsAHungWatch(t *testing.T) {
	serve := func(seq int, host string, calls chan<- string) string {
		srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if holdMs := r.URL.Query().Get("hold_ms"); holdMs != "" && holdMs != "0" {
				calls <- r.URL.Query().Get("from")
				<-r.Context().Done()
				return
			}
			_, _ = fmt.Fprintf(w, `{"seq":%d,"whole":%v,"hosts":[{"host":%q,"dial":"x:1","health":"SERVING"}]}`, seq,
				r.URL.RawQuery == "", host)
		}))
		t.Cleanup(srv.Close)
		return srv.Listener.Addr().String()
	}
	calls, nextCalls := make(chan string, 9), make(chan string, 9)
	first, next := serve(90, "old", calls), serve(3, "new", nextCalls)
	events := make(chan policy.Event, 16)
	log := logrus.New()
	log.SetOutput(io.Discard)
	w := NewWatcher(New(), first, time.Hour, 0, func(e policy.Event) { events <- e }, log)
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	go w.Run(ctx)
	w.Subscribe()
	assert.Equal(t, "90", <-calls)
	assert.Equal(t, policy.ListChanged, (<-events).Kind)

	w.SetAddress(next)
	assert.Equal(t, "3", <-nextCalls)
	e := <-events
	assert.Equal(t, policy.ListReplaced, e.Kind, "the cancelled call is not passed on as a failure")
	assert.Equal(t, "new", e.Members[0].Worker)
	_, ok := w.table.Lookup("old")
	assert.False(t, ok)

	w.SetAddress(next) // the same address: the watch continues
	assert.Empty(t, nextCalls)
	assert.Empty(t, events)
}

// After a failed call, SetAddress makes the Watcher call the new address without waiting for a subscription.
func TestSetAddressAfterAFailure(t *testing.T) {
	failed := make(chan policy.Event, 16)
	log := logrus.New()
	log.SetOutput(io.Discard)
	w := NewWatcher(New(), "127.0.0.1:1", time.Second, 0, func(e policy.Event) { failed <- e }, log)
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	go w.Run(ctx)
	w.Subscribe()
	require.Equal(t, policy.ListUnavailable, (<-failed).Kind)
	called := make(chan bool, 16)
	srv := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { called <- true }))
	defer srv.Close()
	w.SetAddress(srv.Listener.Addr().String())
	<-called
}
