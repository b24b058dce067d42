package directory

import (
	"context"
	"time"

	"github.com/go-kit/log/level"
	"github.com/pkg/errors"

	"ospreypond/internal/cluster/failure"
	"ospreypond/internal/cluster/protocol"
)

const (
	defaultWait     = time.Second            // how long the owner may hold a watch back
	watchSlack      = 600 * time.Millisecond // on top of that until it counts as silent
	leastWatchPause = 50 * time.Millisecond
	mostWatchPause  = 400 * time.Millisecond
	leastWatchSpan  = 50 * time.Millisecond  // after a watch that was answered sooner than this and brought nothing
	leastRefresh    = 200 * time.Millisecond // a watch younger than this is not broken off
	mostPatience    = 12 * time.Second       // on top of the rest for a configuration that takes long to arrive
)

// heldShare is the share of the time that a watch was held that counts here: clocks may go at different speeds.
const heldShare = 0.97

// tellAfter is how many failures in a row are worth a line in the log.
const tellAfter = 10

// watch is the state of the one watch that a Directory keeps going.
type watch struct {
	target   string
	failures int  // in a row
	hints    int  // followed in a row
	paused   bool // the newest hint after too many in a row was followed, after a pause
	whole    bool // ask for a snapshot
	short    bool // ask for an answer at once

	// patience is how much longer an answer with a configuration is waited for, which may be a whole one whatever was asked
	// for. It grows each time that none has arrived in time, since on a slow link none ever would if each try was as short as
	// the first, and ends with the first that has.
	patience time.Duration
}

// Run keeps a watch going at the owner of the configuration until ctx ends.
func (d *Directory) Run(ctx context.Context) {
	w := &watch{target: d.first(protocol.ConfigurationShard)}
	for !isOver(ctx) {
		d.round(ctx, w)
	}
}

// round makes one watch, and waits as long as is due before the next.
func (d *Directory) round(ctx context.Context, w *watch) {
	sentAt := d.options.Clock.Now()
	answer, refreshed, err := d.ask(ctx, w)
	switch {
	case isOver(ctx):
	case err == nil:
		w.short = false
		d.accept(ctx, w, answer, sentAt)
	case refreshed:
		w.short = true
	default:
		d.fail(ctx, w, err)
	}
}

// ask sends one watch. refreshed: it was broken off by a Refresh.
func (d *Directory) ask(ctx context.Context, w *watch) (answer *protocol.WatchResponse, refreshed bool, err error) {
	if w.target == "" {
		return nil, false, failure.New(failure.Unavailable, "no control process is known")
	}
	request := d.request(w)
	most := time.Duration(request.WaitMs)*time.Millisecond + watchSlack + w.patience
	bounded, cancel := d.bound(ctx, most)
	defer cancel()
	if !w.short && w.patience == 0 {
		d.setBreakOff(cancel)
	}
	answer = &protocol.WatchResponse{}
	sentAt := d.options.Clock.Now()
	err = d.send(bounded, w, request, answer)
	refreshed = d.endBreakOff()
	if !request.OwnersOnly && err != nil && d.options.Clock.Since(sentAt) >= most {
		w.patience = min(max(2*w.patience, most), mostPatience)
	}
	if err == nil {
		err = unpack(answer)
	}
	return answer, refreshed && err != nil, err
}

// send sends one watch. A peer that is waited for longer is looked after meanwhile: it is cut if it falls silent.
func (d *Directory) send(ctx context.Context, w *watch, request *protocol.WatchRequest, answer *protocol.WatchResponse) error {
	if w.patience > 0 {
		return d.options.Client.Do(ctx, w.target, request, answer)
	}
	return d.options.Client.DoLong(ctx, w.target, request, answer)
}

// setBreakOff lets Refresh break the present watch off.
func (d *Directory) setBreakOff(cancel context.CancelFunc) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.breakOff = cancel
	d.watchedAt = d.options.Clock.Now()
}

// endBreakOff tells whether Refresh broke the watch off.
func (d *Directory) endBreakOff() bool {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	refreshed := d.refreshed
	d.breakOff, d.refreshed = nil, false
	return refreshed
}

func (d *Directory) request(w *watch) *protocol.WatchRequest {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	request := &protocol.WatchRequest{
		Version: d.view.version,
		Owners:  d.view.ownersAt,
		WaitMs:  d.options.Wait.Milliseconds(),
		Node:    d.options.Node,
		Zone:    d.options.Zone,
		Relay:   d.options.Relay,
	}
	if d.options.OnConfiguration == nil {
		request.OwnersOnly = true
	} else {
		request.Changes = true
		request.Compressed = true
	}
	if w.whole {
		request.Version, request.Changes = 0, false
	}
	if w.short {
		request.WaitMs = 0
	}
	return request
}

// accept takes over what an answer brought.
func (d *Directory) accept(ctx context.Context, w *watch, answer *protocol.WatchResponse, sentAt time.Time) {
	brought := d.judge(answer)
	confirmedAt := d.confirmedBy(answer, sentAt)
	if brought.stale {
		_ = level.Warn(d.options.Logger).Log("message", "older configuration passed over", "peer", w.target,
			"version", answer.Version, "held", d.Version())
		d.fail(ctx, w, errors.New("an older configuration"))
		return
	}
	d.found(w)
	if d.options.OnRelays != nil && len(answer.Relays) > 0 {
		d.options.OnRelays(answer.Relays)
	}
	w.patience = 0
	if brought.incomplete {
		w.whole = true
		d.pace(ctx, sentAt)
		return
	}
	if !d.take(ctx, w, answer.Version, brought.configuration) {
		return
	}
	w.whole = false
	d.confirm(w.target, answer.Version, confirmedAt)
	if brought.configuration == nil {
		d.pace(ctx, sentAt)
	}
}

// take hands a newer configuration over, if there is one. If that can't be read, the whole is asked for.
func (d *Directory) take(ctx context.Context, w *watch, version uint64, configuration []byte) bool {
	if configuration == nil || d.options.OnConfiguration == nil {
		return true
	}
	err := d.options.OnConfiguration(version, configuration)
	if err == nil {
		return true
	}
	_ = level.Warn(d.options.Logger).Log("msg", "the configuration can't be taken, the whole is asked for", "version", version,
		"err", err)
	if w.whole {
		d.pause(ctx, mostWatchPause) // that was the whole
	}
	w.whole = true
	return false
}

// confirmedBy is when what an answer says was certainly in force.
func (d *Directory) confirmedBy(answer *protocol.WatchResponse, sentAt time.Time) time.Time {
	held := time.Duration(float64(max(answer.HeldMs, 0)) * heldShare * float64(time.Millisecond))
	confirmed := sentAt.Add(held)
	if now := d.options.Clock.Now(); confirmed.After(now) {
		return now
	}
	return confirmed
}

func (d *Directory) judge(answer *protocol.WatchResponse) news {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	brought := d.view.judge(answer, d.options.OnConfiguration == nil)
	if brought.owners {
		d.announce()
	}
	return brought
}

func (d *Directory) confirm(from string, version uint64, confirmedAt time.Time) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.view.adopt(version)
	d.view.confirm(confirmedAt)
	d.view.learn(protocol.ConfigurationShard, from)
}

// fail picks whom to ask after a failure, and waits. Hints are followed as attempts.follow does.
func (d *Directory) fail(ctx context.Context, w *watch, err error) {
	leader := failure.LeaderOf(err)
	hint := leader != "" && leader != w.target
	if hint && w.hints < mostHints {
		w.hints++
		w.target = leader
		return
	}
	w.hints = 0
	w.failures++
	d.tell(w, err)
	w.paused = hint && !w.paused
	if w.paused {
		w.target = leader
	} else {
		d.passOver(protocol.ConfigurationShard, w.target)
		w.target = d.next(w.target)
	}
	silent := failure.KindOf(err) == failure.UnknownOutcome
	if silent && w.failures == 1 {
		return
	}
	d.pause(ctx, watchPause(w.failures))
}

// found ends a row of failures.
func (d *Directory) found(w *watch) {
	if w.failures >= tellAfter {
		_ = level.Info(d.options.Logger).Log("message", "the configuration's owner answers", "peer", w.target)
	}
	w.failures, w.hints, w.paused = 0, 0, false
}

// tell logs that the owner cannot be found, once in a row of failures.
func (d *Directory) tell(w *watch, err error) {
	if w.failures == tellAfter {
		_ = level.Warn(d.options.Logger).Log("message", "the configuration's owner is not found", "cause", err)
	}
}

// watchPause returns how long to wait after so many failures in a row.
func watchPause(failures int) time.Duration {
	return min(leastWatchPause<<min(failures-1, 3), mostWatchPause)
}

// pace waits a little after an answer that came at once.
func (d *Directory) pace(ctx context.Context, sentAt time.Time) {
	if d.options.Clock.Since(sentAt) < leastWatchSpan {
		d.pause(ctx, leastWatchSpan)
	}
}

func (d *Directory) pause(ctx context.Context, span time.Duration) {
	d.wait(ctx, span, nil)
}
