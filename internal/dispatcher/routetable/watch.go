package routetable

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/sirupsen/logrus"

	"ospreypond/policy"
)

// The intervals between retries of a watch that the Watcher keeps open. They double with each failed call.
const (
	minRetryInterval = 50 * time.Millisecond
	maxRetryInterval = time.Second
	// minStableWatch is how long a watch must have been open before its failure for the next retry to come after
	// minRetryInterval again.
	minStableWatch = time.Second
)

// maxList bounds the body of discovery's response, in bytes.
const maxList = 4 << 20

// errMoved ends the watch at an address that SetAddress has replaced.
var errMoved = errors.New("the address of discovery was changed")

// Watcher keeps a Table up to date by watching discovery with long polls: discovery holds each call until there is a change
// or the hold ends, and the next call follows at once. Run makes the calls. The other methods may be called from any
// goroutine, except that SetAddress must not be called concurrently with itself.
type Watcher struct {
	table      *Table
	endpoint   atomic.Pointer[endpoint]
	timing     atomic.Pointer[callTiming]
	client     *http.Client
	notify     func(policy.Event)
	notifier   *notifier     // calls notify
	subscribed chan struct{} // has an element if Subscribe was called and Run has not responded to it yet
	keepOpen   atomic.Bool   // set by KeepOpen
	clock      watchClock
	firstList  chan struct{} // closed after the first list was passed to notify
	log        logrus.FieldLogger

	firstListOnce sync.Once
}

// callTiming is the timing of calls by the current settings.
type callTiming struct {
	hold       time.Duration // how long discovery may hold a call
	maxBackoff time.Duration // the longest interval between retries of a watch that is kept open
}

// endpoint is an address of discovery, with the call in progress to it.
type endpoint struct {
	addr      string // host:port
	fetchFull bool   // the next call requests the full list, as the table's version is from another list

	mu       sync.Mutex
	replaced bool               // another address is in use
	cancel   context.CancelFunc // cancels the call in progress; nil: none
}

func newEndpoint(addr string, fetchFull bool) *endpoint {
	return &endpoint{addr: addr, fetchFull: fetchFull}
}

// setCancel sets the function that replace calls to cancel the call in progress; nil: the call has ended. If replace was
// called before, setCancel cancels the call at once.
func (p *endpoint) setCancel(cancel context.CancelFunc) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.cancel = cancel
	if p.replaced && cancel != nil {
		cancel()
	}
}

// replace cancels the call in progress and all later ones, as another address is used from now on.
func (p *endpoint) replace() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.replaced = true
	if p.cancel != nil {
		p.cancel()
	}
}

// isReplaced reports whether replace was called.
func (p *endpoint) isReplaced() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.replaced
}

// NewWatcher returns a Watcher on the discovery service at addr. For hold and grace see SetTimes. Each change is applied to
// t and then passed to notify, in order and from one goroutine. notify may block without delaying the changes to t.
func NewWatcher(t *Table, addr string, hold, grace time.Duration, notify func(policy.Event), log logrus.FieldLogger) *Watcher {
	tr := &http.Transport{Proxy: nil, DisableCompression: true, MaxIdleConnsPerHost: 1}
	w := &Watcher{table: t, firstList: make(chan struct{}), notify: notify, notifier: newNotifier(), client: &http.Client{Transport: tr},
		subscribed: make(chan struct{}, 1), log: log}
	w.endpoint.Store(newEndpoint(addr, false))
	w.SetTimes(hold, grace)
	return w
}

// SetAddress cancels the call at the old address and calls addr at once, unless addr is the old address. It must not be
// called concurrently with itself.
func (w *Watcher) SetAddress(addr string) {
	if old := w.endpoint.Load(); old.addr != addr {
		w.endpoint.Store(newEndpoint(addr, true))
		old.replace()
		w.Subscribe() // Run waits for a subscription after a failed call
	}
}

// Subscribe starts a watch, unless one is open. It does not block.
func (w *Watcher) Subscribe() {
	select {
	case w.subscribed <- struct{}{}:
	default:
	}
}

// SetTimes sets two times, from the next call on:
//   - the time that discovery may hold a call, which is hold, but at most maxHold;
//   - the longest interval between retries of a watch that is kept open, which is a third of grace, but at least
//     minRetryInterval and at most maxRetryInterval.
//
// grace is how long after a notice that a runner drains the dispatcher may still send it requests; 0: there is no such
// limit. Where lists are pushed, the platform treats the dispatcher as notified once discovery is reachable again after an
// outage, so the dispatcher must retry well within grace.
func (w *Watcher) SetTimes(hold, grace time.Duration) {
	p := &callTiming{hold: min(hold, maxHold), maxBackoff: maxRetryInterval}
	if grace > 0 {
		p.maxBackoff = min(maxRetryInterval, max(minRetryInterval, grace/3))
	}
	w.timing.Store(p)
}

// FirstList returns a channel that is closed after the first list was received and passed to notify.
func (w *Watcher) FirstList() <-chan struct{} { return w.firstList }

// KeepOpen sets whether the Watcher opens a watch, and reopens it after failures, without Subscribe. This is needed where
// lists are pushed, as the platform then treats the dispatcher as notified of changes whether it watches or not. Otherwise
// the decision module starts each watch by Subscribe.
func (w *Watcher) KeepOpen(on bool) {
	if w.keepOpen.Swap(on) != on && on {
		w.Subscribe()
	}
}

// Run watches until ctx ends. It starts a watch after Subscribe. When a call fails it passes on ListUnavailable, and waits
// for the next Subscribe, which it calls itself after an interval if KeepOpen(true) was called. It returns after its
// goroutines have returned.
func (w *Watcher) Run(ctx context.Context) {
	retry := backoff.ExponentialBackOff{InitialInterval: minRetryInterval, Multiplier: 2,
		RandomizationFactor: backoff.DefaultRandomizationFactor}
	retry.Reset()
	var notifying sync.WaitGroup
	defer notifying.Wait()
	notifying.Go(func() { w.notifier.run(ctx) })
	for {
		select {
		case <-ctx.Done():
			return
		case <-w.subscribed:
		}
		opened := time.Now()
		err := errMoved
		for errors.Is(err, errMoved) {
			err = w.watch(ctx, w.endpoint.Load())
		}
		if ctx.Err() != nil {
			return
		}
		w.log.WithError(err).WithField("told_in", time.Until(w.clock.noticedAt()).Round(time.Millisecond)).
			Warn("discovery call failed; the route table stays as it is")
		w.notifier.enqueue(func() { w.notify(policy.Event{Kind: policy.ListUnavailable}) })
		if w.keepOpen.Load() {
			if time.Since(opened) > minStableWatch {
				retry.Reset()
			}
			retry.MaxInterval = w.timing.Load().maxBackoff
			time.AfterFunc(retry.NextBackOff(), w.Subscribe)
		}
	}
}

// watch calls discovery until a call fails, or until SetAddress replaces p; then it returns errMoved.
func (w *Watcher) watch(ctx context.Context, p *endpoint) error {
	// The first call has no hold. The module waits for a response to its subscription, and with a hold it would wait until
	// the hold's end if nothing changed.
	var hold time.Duration
	for subscribed := true; ; {
		l, err := w.call(ctx, p, hold)
		if p.isReplaced() { // also after a success: the list is of the old service
			w.client.CloseIdleConnections()
			return errMoved
		}
		if err != nil {
			return err
		}
		// A lower version means that discovery has restarted. Its changes then refer to a list that is not in the table.
		if !l.Full && !p.fetchFull && l.Seq < w.table.Seq() {
			w.log.WithFields(logrus.Fields{"seq": l.Seq, "had": w.table.Seq()}).
				Warn("discovery's version went back; the full list is requested")
			p.fetchFull, hold = true, 0
			continue
		}
		p.fetchFull = false
		select { // the list is also the response to a subscription made during the call
		case <-w.subscribed:
			subscribed = true
		default:
		}
		w.apply(l, subscribed)
		subscribed = false
		hold = w.timing.Load().hold
	}
}

// apply applies a list to the table and passes it on as an event. It passes on a list without changes only if the list is
// the response to a subscription, or a full list.
func (w *Watcher) apply(l *List, subscribed bool) {
	if err := l.Check(); err != nil {
		w.log.WithError(err).Error("discovery's list has a faulty entry, which is left out")
	}
	e := policy.Event{Kind: policy.ListChanged, Members: w.table.Apply(l)}
	if l.Full {
		e.Kind = policy.ListReplaced
	}
	for _, h := range l.Hosts {
		w.log.WithFields(logrus.Fields{"target": h.Host, "health": h.Health, "seq": l.Seq}).Debug("route changed")
	}
	w.notifier.enqueue(func() {
		if subscribed || l.Full || len(l.Hosts) > 0 {
			w.notify(e)
		}
		w.firstListOnce.Do(func() { close(w.firstList) })
	})
}

// call requests the changes since the table's version, or the full list without a hold if p.fetchFull is set.
func (w *Watcher) call(ctx context.Context, p *endpoint, hold time.Duration) (*List, error) {
	ctx, cancel := context.WithDeadline(ctx, w.clock.startCall(time.Now(), hold))
	defer cancel()
	p.setCancel(cancel)
	defer p.setCancel(nil)
	target := "http://" + p.addr + "/registry/instances"
	if !p.fetchFull {
		target += "?" + url.Values{"from": {strconv.FormatInt(w.table.Seq(), 10)},
			"hold_ms": {strconv.FormatInt(hold.Milliseconds(), 10)}}.Encode()
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, target, nil)
	if err != nil {
		return nil, fmt.Errorf("calling discovery: %w", err)
	}
	resp, err := w.client.Do(req)
	if err != nil {
		return nil, fmt.Errorf("calling discovery: %w", err)
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxList))
	if err != nil {
		return nil, fmt.Errorf("reading discovery's response: %w", err)
	}
	if resp.StatusCode != http.StatusOK {
		return nil, fmt.Errorf("discovery responded %s", resp.Status)
	}
	var l List
	if err := json.Unmarshal(body, &l); err != nil {
		return nil, fmt.Errorf("parsing discovery's response: %w", err)
	}
	w.clock.responded(time.Now())
	return &l, nil
}
