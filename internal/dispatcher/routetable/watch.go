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

// A watch that the Watcher keeps up by itself is opened anew so soon after it ended, and after ever longer waits while
// calls go on failing.
const (
	minRetryInterval = 50 * time.Millisecond
	maxRetryInterval = time.Second
	// minStableWatch is how long a watch was up for the next one to be opened soon again.
	minStableWatch = time.Second
)

// maxList bounds what is read of one answer.
const maxList = 4 << 20

// errMoved ends the watch at an address that is not in force any more.
var errMoved = errors.New("discovery has another address")

// Watcher keeps a Table up to date by watching discovery.
type Watcher struct {
	table      *Table
	endpoint   atomic.Pointer[endpoint]
	pacing     atomic.Pointer[callPacing]
	client     *http.Client
	notify     func(policy.Event)
	notifier   *notifier // calls news
	subscribed chan struct{}
	keepOpen   atomic.Bool
	clock      watchClock
	firstList  chan struct{} // closed when a list came and was told
	log        logrus.FieldLogger

	firstListOnce sync.Once
}

// callPacing is what the settings in force say of the times of calls.
type callPacing struct {
	hold       time.Duration // for which a call may be held
	maxBackoff time.Duration // the longest wait for a watch that the Watcher keeps
}

// endpoint is an address of discovery while it is in force.
type endpoint struct {
	addr      string
	ctx       context.Context // ends when another address takes over
	cancel    context.CancelFunc
	fetchFull bool // the whole list is to be asked for: versions of another service mean nothing here
}

func newEndpoint(addr string, whole bool) *endpoint {
	p := &endpoint{addr: addr, fetchFull: whole}
	p.ctx, p.cancel = context.WithCancel(context.Background())
	return p
}

// NewWatcher returns a Watcher on the discovery service at addr, paced by hold and grace, see Retune. What is learned goes
// into the table first and then, in order, to news, which may take its time.
func NewWatcher(t *Table, addr string, hold, grace time.Duration, news func(policy.Event), log logrus.FieldLogger) *Watcher {
	tr := &http.Transport{Proxy: nil, DisableCompression: true, MaxIdleConnsPerHost: 1}
	w := &Watcher{table: t, firstList: make(chan struct{}), notify: news, notifier: newNotifier(), client: &http.Client{Transport: tr},
		subscribed: make(chan struct{}, 1), log: log}
	w.endpoint.Store(newEndpoint(addr, false))
	w.Retune(hold, grace)
	return w
}

// Move goes on at another address at once: a call held at the old one is broken off. It must not be called by
// two goroutines at once.
func (w *Watcher) Move(addr string) {
	if old := w.endpoint.Load(); old.addr != addr {
		w.endpoint.Store(newEndpoint(addr, true))
		old.cancel()
		w.Subscribe() // it may be waiting to be asked, after a call that failed
	}
}

// Subscribe asks for the changes from now on. It does not block. While a watch runs it changes nothing.
func (w *Watcher) Subscribe() {
	select {
	case w.subscribed <- struct{}{}:
	default:
	}
}

// Retune has each call from the next one on held for hold until there is something to tell, or for as long as the terms of
// silence allow, if that is less. A watch that the Watcher keeps up is opened anew within a third of grace: where lists
// are pushed, what there is to tell counts as told at once, also right after an outage, and grace is how long the settings
// give to heed it; 0: they do not say.
func (w *Watcher) Retune(hold, grace time.Duration) {
	p := &callPacing{hold: min(hold, maxHold), maxBackoff: maxRetryInterval}
	if grace > 0 {
		p.maxBackoff = min(maxRetryInterval, max(minRetryInterval, grace/3))
	}
	w.pacing.Store(p)
}

// FirstList is closed once a list came and was told.
func (w *Watcher) FirstList() <-chan struct{} { return w.firstList }

// KeepOpen says whether the Watcher keeps a watch open by itself, where lists are pushed: what there is to tell then counts as
// told whether or not anybody asks. Else the module asks, by Subscribe.
func (w *Watcher) KeepOpen(on bool) {
	if w.keepOpen.Swap(on) != on && on {
		w.Subscribe()
	}
}

// Run watches until ctx ends. It starts when subscribed to; after a failed call it tells the module, which
// decides when to subscribe again, or does so itself where it keeps the watch.
func (w *Watcher) Run(ctx context.Context) {
	again := backoff.ExponentialBackOff{InitialInterval: minRetryInterval, Multiplier: 2,
		RandomizationFactor: backoff.DefaultRandomizationFactor}
	again.Reset()
	var telling sync.WaitGroup
	defer telling.Wait()
	telling.Go(func() { w.notifier.run(ctx) })
	for {
		select {
		case <-ctx.Done():
			return
		case <-w.subscribed:
		}
		began := time.Now()
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
			if time.Since(began) > minStableWatch { // it was up for a while
				again.Reset()
			}
			again.MaxInterval = w.pacing.Load().maxBackoff
			time.AfterFunc(again.NextBackOff(), w.Subscribe)
		}
	}
}

// watch calls discovery until a call fails or discovery moves.
func (w *Watcher) watch(ctx context.Context, p *endpoint) error {
	// The first call is not held: the module waits for an answer to its subscription and would wait for the
	// whole hold where nothing changes.
	var hold time.Duration
	for answer := true; ; {
		l, err := w.call(ctx, p, hold)
		if p.ctx.Err() != nil { // whatever came is not news any more
			w.client.CloseIdleConnections()
			return errMoved
		}
		if err != nil {
			return err
		}
		// Guards against a discovery that started over and tells changes to a list that nobody here has.
		if !l.Full && !p.fetchFull && l.Seq < w.table.Seq() {
			w.log.WithFields(logrus.Fields{"seq": l.Seq, "had": w.table.Seq()}).
				Warn("discovery's version went back; the whole list is asked for")
			p.fetchFull, hold = true, 0
			continue
		}
		p.fetchFull = false
		select { // the answer is also that to a subscription made meanwhile
		case <-w.subscribed:
			answer = true
		default:
		}
		w.apply(l, answer)
		answer = false
		hold = w.pacing.Load().hold
	}
}

func (w *Watcher) apply(l *List, answer bool) {
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
		if answer || l.Full || len(l.Hosts) > 0 {
			w.notify(e)
		}
		w.firstListOnce.Do(func() { close(w.firstList) })
	})
}

// startCall asks for what is newer than the table, or for the whole list.
func (w *Watcher) call(ctx context.Context, p *endpoint, hold time.Duration) (*List, error) {
	ctx, cancel := context.WithDeadline(ctx, w.clock.startCall(time.Now(), hold))
	defer cancel()
	defer context.AfterFunc(p.ctx, cancel)()
	target := "http://" + p.addr + "/registry/instances"
	if !p.fetchFull {
		target += "?" + url.Values{"from": {strconv.FormatInt(w.table.Seq(), 10)},
			"hold_ms": {strconv.FormatInt(hold.Milliseconds(), 10)}}.Encode()
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, target, nil)
	if err != nil {
		return nil, fmt.Errorf("asking discovery: %w", err)
	}
	resp, err := w.client.Do(req)
	if err != nil {
		return nil, fmt.Errorf("asking discovery: %w", err)
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxList))
	if err != nil {
		return nil, fmt.Errorf("reading discovery's answer: %w", err)
	}
	if resp.StatusCode != http.StatusOK {
		return nil, fmt.Errorf("discovery answered %s", resp.Status)
	}
	var l List
	if err := json.Unmarshal(body, &l); err != nil {
		return nil, fmt.Errorf("discovery's answer: %w", err)
	}
	w.clock.responded(time.Now())
	return &l, nil
}
