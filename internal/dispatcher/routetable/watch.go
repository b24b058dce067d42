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
	againFirst = 50 * time.Millisecond
	againMost  = time.Second
	// steady is how long a watch was up for the next one to be opened soon again.
	steady = time.Second
)

// maxList bounds what is read of one answer.
const maxList = 4 << 20

// errMoved ends the watch at an address that is not in force any more.
var errMoved = errors.New("discovery has another address")

// Watcher keeps a Table up to date by watching discovery.
type Watcher struct {
	table  *Table
	at     atomic.Pointer[place]
	pace   atomic.Pointer[pace]
	client *http.Client
	news   func(policy.Event)
	teller *teller // calls news
	kick   chan struct{}
	keep   atomic.Bool
	clock  clock
	first  chan struct{} // closed when a list came and was told
	log    logrus.FieldLogger

	firstOnce sync.Once
}

// pace is what the settings in force say of the times of calls.
type pace struct {
	hold time.Duration // for which a call may be held
	most time.Duration // the longest wait for a watch that the Watcher keeps
}

// place is an address of discovery while it is in force.
type place struct {
	addr  string
	left  context.Context // ends when another address takes over
	leave context.CancelFunc
	whole bool // the whole list is to be asked for: versions of another service mean nothing here
}

func newPlace(addr string, whole bool) *place {
	p := &place{addr: addr, whole: whole}
	p.left, p.leave = context.WithCancel(context.Background())
	return p
}

// NewWatcher returns a Watcher on the discovery service at addr, paced by hold and grace, see Retune. What is learned goes
// into the table first and then, in order, to news, which may take its time.
func NewWatcher(t *Table, addr string, hold, grace time.Duration, news func(policy.Event), log logrus.FieldLogger) *Watcher {
	tr := &http.Transport{Proxy: nil, DisableCompression: true, MaxIdleConnsPerHost: 1}
	w := &Watcher{table: t, first: make(chan struct{}), news: news, teller: newTeller(), client: &http.Client{Transport: tr},
		kick: make(chan struct{}, 1), log: log}
	w.at.Store(newPlace(addr, false))
	w.Retune(hold, grace)
	return w
}

// Move goes on at another address at once: a call held at the old one is broken off. It must not be called by
// two goroutines at once.
func (w *Watcher) Move(addr string) {
	if old := w.at.Load(); old.addr != addr {
		w.at.Store(newPlace(addr, true))
		old.leave()
		w.Subscribe() // it may be waiting to be asked, after a call that failed
	}
}

// Subscribe asks for the changes from now on. It does not block. While a watch runs it changes nothing.
func (w *Watcher) Subscribe() {
	select {
	case w.kick <- struct{}{}:
	default:
	}
}

// Retune has each call from the next one on held for hold until there is something to tell, or for as long as the terms of
// silence allow, if that is less. A watch that the Watcher keeps up is opened anew within a third of grace: where lists
// are pushed, what there is to tell counts as told at once, also right after an outage, and grace is how long the settings
// give to heed it; 0: they do not say.
func (w *Watcher) Retune(hold, grace time.Duration) {
	p := &pace{hold: min(hold, mostHold), most: againMost}
	if grace > 0 {
		p.most = min(againMost, max(againFirst, grace/3))
	}
	w.pace.Store(p)
}

// First is closed once a list came and was told.
func (w *Watcher) First() <-chan struct{} { return w.first }

// Keep says whether the Watcher keeps a watch open by itself, where lists are pushed: what there is to tell then counts as
// told whether or not anybody asks. Else the module asks, by Subscribe.
func (w *Watcher) Keep(on bool) {
	if w.keep.Swap(on) != on && on {
		w.Subscribe()
	}
}

// Run watches until ctx ends. It starts when subscribed to; after a failed call it tells the module, which
// decides when to subscribe again, or does so itself where it keeps the watch.
func (w *Watcher) Run(ctx context.Context) {
	again := backoff.ExponentialBackOff{InitialInterval: againFirst, Multiplier: 2,
		RandomizationFactor: backoff.DefaultRandomizationFactor}
	again.Reset()
	var telling sync.WaitGroup
	defer telling.Wait()
	telling.Go(func() { w.teller.run(ctx) })
	for {
		select {
		case <-ctx.Done():
			return
		case <-w.kick:
		}
		began := time.Now()
		err := errMoved
		for errors.Is(err, errMoved) {
			err = w.watch(ctx, w.at.Load())
		}
		if ctx.Err() != nil {
			return
		}
		w.log.WithError(err).WithField("told_in", time.Until(w.clock.told()).Round(time.Millisecond)).
			Warn("discovery call failed; the route table stays as it is")
		w.teller.tell(func() { w.news(policy.Event{Kind: policy.ListUnavailable}) })
		if w.keep.Load() {
			if time.Since(began) > steady { // it was up for a while
				again.Reset()
			}
			again.MaxInterval = w.pace.Load().most
			time.AfterFunc(again.NextBackOff(), w.Subscribe)
		}
	}
}

// watch calls discovery until a call fails or discovery moves.
func (w *Watcher) watch(ctx context.Context, p *place) error {
	// The first call is not held: the module waits for an answer to its subscription and would wait for the
	// whole hold where nothing changes.
	var hold time.Duration
	for answer := true; ; {
		l, err := w.call(ctx, p, hold)
		if p.left.Err() != nil { // whatever came is not news any more
			w.client.CloseIdleConnections()
			return errMoved
		}
		if err != nil {
			return err
		}
		// Guards against a discovery that started over and tells changes to a list that nobody here has.
		if !l.Whole && !p.whole && l.Seq < w.table.Seq() {
			w.log.WithFields(logrus.Fields{"seq": l.Seq, "had": w.table.Seq()}).
				Warn("discovery's version went back; the whole list is asked for")
			p.whole, hold = true, 0
			continue
		}
		p.whole = false
		select { // the answer is also that to a subscription made meanwhile
		case <-w.kick:
			answer = true
		default:
		}
		w.apply(l, answer)
		answer = false
		hold = w.pace.Load().hold
	}
}

func (w *Watcher) apply(l *List, answer bool) {
	if err := l.Check(); err != nil {
		w.log.WithError(err).Error("discovery's list has a faulty entry, which is left out")
	}
	e := policy.Event{Kind: policy.ListChanged, Members: w.table.Apply(l)}
	if l.Whole {
		e.Kind = policy.ListReplaced
	}
	for _, h := range l.Hosts {
		w.log.WithFields(logrus.Fields{"target": h.Host, "health": h.Health, "seq": l.Seq}).Debug("route changed")
	}
	w.teller.tell(func() {
		if answer || l.Whole || len(l.Hosts) > 0 {
			w.news(e)
		}
		w.firstOnce.Do(func() { close(w.first) })
	})
}

// call asks for what is newer than the table, or for the whole list.
func (w *Watcher) call(ctx context.Context, p *place, hold time.Duration) (*List, error) {
	ctx, cancel := context.WithDeadline(ctx, w.clock.call(time.Now(), hold))
	defer cancel()
	defer context.AfterFunc(p.left, cancel)()
	target := "http://" + p.addr + "/registry/instances"
	if !p.whole {
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
	w.clock.answer(time.Now())
	return &l, nil
}
