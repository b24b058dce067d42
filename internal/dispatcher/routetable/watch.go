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

// A watch that the Watcher keeps open is retried after these intervals, which grow while calls fail.
const (
	minRetryInterval = 50 * time.Millisecond
	maxRetryInterval = time.Second
	// minStableWatch is how long a watch was open for the next retry to start from minRetryInterval again.
	minStableWatch = time.Second
)

// maxList bounds a response, in bytes.
const maxList = 4 << 20

// errMoved ends the watch at an address that is not in force any more.
var errMoved = errors.New("discovery has another address")

// Watcher keeps a Table up to date by watching discovery: a call is held until there is a change, and the next one
// follows at once. Run does the work; all other methods may be called from any goroutine but Move.
type Watcher struct {
	table      *Table
	endpoint   atomic.Pointer[endpoint]
	pacing     atomic.Pointer[callPacing]
	client     *http.Client
	notify     func(policy.Event)
	notifier   *notifier // calls notify
	subscribed chan struct{}
	keepOpen   atomic.Bool
	clock      watchClock
	firstList  chan struct{} // closed by the notifier after the first list
	log        logrus.FieldLogger

	firstListOnce sync.Once
}

// callPacing is the timing of calls by the settings in force.
type callPacing struct {
	hold       time.Duration // how long discovery may hold a call
	maxBackoff time.Duration // the longest interval between retries of a watch that is kept open
}

// endpoint is an address of discovery while it is in force.
type endpoint struct {
	addr      string
	fetchFull bool // the next call requests the full list: versions of another service have no meaning

	mu       sync.Mutex
	replaced bool               // another address is in force
	cancel   context.CancelFunc // of the call in progress; nil: none
}

func newEndpoint(addr string, fetchFull bool) *endpoint {
	return &endpoint{addr: addr, fetchFull: fetchFull}
}

// startCall has replace call cancel, at once if it was called before; nil: the call has ended.
func (p *endpoint) startCall(cancel context.CancelFunc) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.cancel = cancel
	if p.replaced && cancel != nil {
		cancel()
	}
}

// replace ends the call in progress, as another address takes over.
func (p *endpoint) replace() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.replaced = true
	if p.cancel != nil {
		p.cancel()
	}
}

func (p *endpoint) isReplaced() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.replaced
}

// NewWatcher returns a Watcher on the discovery service at addr, timed by hold and grace, see SetTimes. What it learns
// is applied to t first and then passed to notify, in order and from one goroutine; notify may block.
func NewWatcher(t *Table, addr string, hold, grace time.Duration, notify func(policy.Event), log logrus.FieldLogger) *Watcher {
	tr := &http.Transport{Proxy: nil, DisableCompression: true, MaxIdleConnsPerHost: 1}
	w := &Watcher{table: t, firstList: make(chan struct{}), notify: notify, notifier: newNotifier(), client: &http.Client{Transport: tr},
		subscribed: make(chan struct{}, 1), log: log}
	w.endpoint.Store(newEndpoint(addr, false))
	w.SetTimes(hold, grace)
	return w
}

// Move goes on at another address at once, and cancels the call at the old one. It must not be called concurrently
// with itself.
func (w *Watcher) Move(addr string) {
	if old := w.endpoint.Load(); old.addr != addr {
		w.endpoint.Store(newEndpoint(addr, true))
		old.replace()
		w.Subscribe() // after a failed call Run waits for it
	}
}

// Subscribe starts a watch, unless one is open. It does not block.
func (w *Watcher) Subscribe() {
	select {
	case w.subscribed <- struct{}{}:
	default:
	}
}

// SetTimes sets the hold of calls from the next one on, at most maxHold, and the interval of retries of a watch that is
// kept open, at most a third of grace: where lists are pushed, the dispatcher counts as notified at once, even right
// after an outage, and grace is how long it may take to heed a drain; 0: not limited.
func (w *Watcher) SetTimes(hold, grace time.Duration) {
	p := &callPacing{hold: min(hold, maxHold), maxBackoff: maxRetryInterval}
	if grace > 0 {
		p.maxBackoff = min(maxRetryInterval, max(minRetryInterval, grace/3))
	}
	w.pacing.Store(p)
}

// FirstList returns a channel that is closed once a list was received and passed on.
func (w *Watcher) FirstList() <-chan struct{} { return w.firstList }

// KeepOpen sets whether the Watcher keeps a watch open by itself. It must where lists are pushed, as the dispatcher
// counts as notified of changes whether it watches or not. Otherwise the module starts each watch, by Subscribe.
func (w *Watcher) KeepOpen(on bool) {
	if w.keepOpen.Swap(on) != on && on {
		w.Subscribe()
	}
}

// Run watches until ctx ends. It waits for Subscribe; after a failed call it notifies the module, which decides when
// to subscribe again, or retries by itself as set by KeepOpen. It returns after its goroutines have.
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
			retry.MaxInterval = w.pacing.Load().maxBackoff
			time.AfterFunc(retry.NextBackOff(), w.Subscribe)
		}
	}
}

// watch calls discovery until a call fails or discovery moves.
func (w *Watcher) watch(ctx context.Context, p *endpoint) error {
	// The first call is not held: the module waits for a response to its subscription, and would wait for the complete
	// hold if nothing changed.
	var hold time.Duration
	for subscribed := true; ; {
		l, err := w.call(ctx, p, hold)
		if p.isReplaced() { // whatever it returned is outdated
			w.client.CloseIdleConnections()
			return errMoved
		}
		if err != nil {
			return err
		}
		// Guards against a discovery that has restarted, whose changes are to a list that is not in the table.
		if !l.Full && !p.fetchFull && l.Seq < w.table.Seq() {
			w.log.WithFields(logrus.Fields{"seq": l.Seq, "had": w.table.Seq()}).
				Warn("discovery's version went back; the full list is requested")
			p.fetchFull, hold = true, 0
			continue
		}
		p.fetchFull = false
		select { // the list is also the response to a subscription made meanwhile
		case <-w.subscribed:
			subscribed = true
		default:
		}
		w.apply(l, subscribed)
		subscribed = false
		hold = w.pacing.Load().hold
	}
}

// apply applies a list to the table and passes it on, also an empty one if it is the response to a subscription.
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

// call requests the changes since the table's version, or the full list.
func (w *Watcher) call(ctx context.Context, p *endpoint, hold time.Duration) (*List, error) {
	ctx, cancel := context.WithDeadline(ctx, w.clock.startCall(time.Now(), hold))
	defer cancel()
	p.startCall(cancel)
	defer p.startCall(nil)
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
