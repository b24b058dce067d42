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
	assert.True(t, ok, "what drains still ends its attempts")
	_, ok = table.Lookup("b")
	assert.False(t, ok)
	assert.Equal(t, int64(4), table.Seq())

	table.Apply(&List{Seq: 5, Full: true, Hosts: []Host{b}})
	_, ok = table.Lookup("a")
	assert.False(t, ok, "what a whole list does not name is gone")
}

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

// A subscription is answered at once, also where nothing changed: its first call is not held. A failed call is
// told as such, and nothing is asked until the next subscription.
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
			fmt.Fprint(w, `{"seq":9,"whole":false,"hosts":[]}`)
		}
	}))
	defer srv.Close()
	news := make(chan policy.Event, 16)
	log := logrus.New()
	log.SetOutput(io.Discard)
	w := NewWatcher(New(), srv.Listener.Addr().String(), 3*time.Second, 0, func(e policy.Event) { news <- e }, log)
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	go w.Run(ctx)

	fail <- true
	w.Subscribe()
	assert.Equal(t, "from=0&hold_ms=0", <-calls)
	assert.Equal(t, policy.ListUnavailable, (<-news).Kind)
	w.Subscribe()
	assert.Equal(t, "from=0&hold_ms=0", <-calls)
	assert.Equal(t, policy.ListChanged, (<-news).Kind)
	assert.Equal(t, "from=9&hold_ms=3000", <-calls, "the next call goes out at once and is held")
}

// Where lists are pushed nobody asks for them: the watch is opened from the first moment on, and anew when it fell silent or
// failed, until that is switched off.
func TestPushedListsAreWatchedWithoutSubscription(t *testing.T) {
	calls := make(chan int, 64)
	n := 0
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		n++
		calls <- n
		switch n {
		case 1, 5:
			fmt.Fprint(w, "{\n  \"seq\": 9,\n  \"whole\": false,\n  \"hosts\": [\n  ]\n}\n") // lists may come indented
		case 2: // silent
			<-r.Context().Done()
		default:
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	}))
	defer srv.Close()
	news := make(chan policy.Event, 64)
	log := logrus.New()
	log.SetOutput(io.Discard)
	w := NewWatcher(New(), srv.Listener.Addr().String(), 10*time.Millisecond, 0, func(e policy.Event) { news <- e }, log)
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	go w.Run(ctx)
	w.KeepOpen(true)
	assert.Equal(t, policy.ListChanged, (<-news).Kind, "unasked")
	for range 3 {
		assert.Equal(t, policy.ListUnavailable, (<-news).Kind, "silent, and then refused")
	}
	assert.Equal(t, policy.ListChanged, (<-news).Kind, "and open again")
	w.KeepOpen(false)
	for len(calls) > 0 {
		<-calls
	}
	time.Sleep(2 * minRetryInterval)
	for len(calls) > 0 { // one that was arranged before
		<-calls
	}
	time.Sleep(3 * maxRetryInterval / 2)
	assert.Empty(t, calls)
}

// Guards against a network cut in silence: a call that brings nothing ends by itself.
func TestHungCallEnds(t *testing.T) {
	srv := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() }))
	defer srv.Close()
	w := NewWatcher(New(), srv.Listener.Addr().String(), time.Second, 0, nil, logrus.New())
	before := time.Now()
	_, err := w.call(context.Background(), newEndpoint(srv.Listener.Addr().String(), false), 0)
	require.ErrorIs(t, err, context.DeadlineExceeded)
	assert.GreaterOrEqual(t, time.Since(before), callSlack)
}

// Guards against a watch that is held at discovery's old address while the new one has news: the move breaks it
// off, and the new service is asked for its whole list, as its versions need not go on from the old one's.
func TestMoveCancelsAHungWatch(t *testing.T) {
	serve := func(seq int, host string, held chan<- string) string {
		srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if hold := r.URL.Query().Get("hold_ms"); hold != "" && hold != "0" {
				held <- r.URL.Query().Get("from")
				<-r.Context().Done()
				return
			}
			fmt.Fprintf(w, `{"seq":%d,"whole":%v,"hosts":[{"host":%q,"dial":"x:1","health":"SERVING"}]}`, seq,
				r.URL.RawQuery == "", host)
		}))
		t.Cleanup(srv.Close)
		return srv.Listener.Addr().String()
	}
	held, heldNext := make(chan string, 9), make(chan string, 9)
	first, next := serve(90, "old", held), serve(3, "new", heldNext)
	news := make(chan policy.Event, 16)
	log := logrus.New()
	log.SetOutput(io.Discard)
	w := NewWatcher(New(), first, time.Hour, 0, func(e policy.Event) { news <- e }, log)
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	go w.Run(ctx)
	w.Subscribe()
	assert.Equal(t, "90", <-held)
	assert.Equal(t, policy.ListChanged, (<-news).Kind)

	w.Move(next)
	assert.Equal(t, "3", <-heldNext)
	e := <-news
	assert.Equal(t, policy.ListReplaced, e.Kind, "and no failure is told in between")
	assert.Equal(t, "new", e.Members[0].Worker)
	_, ok := w.table.Lookup("old")
	assert.False(t, ok)

	w.Move(next) // the same again: the watch goes on
	assert.Empty(t, heldNext)
	assert.Empty(t, news)
}

// Guards against a move that waits for the module: after a failed call the new address is asked unasked.
func TestMoveAfterAFailure(t *testing.T) {
	failed := make(chan policy.Event, 16)
	log := logrus.New()
	log.SetOutput(io.Discard)
	w := NewWatcher(New(), "127.0.0.1:1", time.Second, 0, func(e policy.Event) { failed <- e }, log)
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	go w.Run(ctx)
	w.Subscribe()
	require.Equal(t, policy.ListUnavailable, (<-failed).Kind)
	asked := make(chan bool, 16)
	srv := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { asked <- true }))
	defer srv.Close()
	w.Move(srv.Listener.Addr().String())
	<-asked
}
