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
	defaultWait        = time.Second            // how long the owner may leave a watch unanswered
	watchSlack         = 600 * time.Millisecond // beyond that it counts as unresponsive
	minWatchBackoff    = 50 * time.Millisecond
	maxWatchBackoff    = 400 * time.Millisecond
	minWatchInterval   = 50 * time.Millisecond  // the wait after a watch that was answered sooner and brought nothing new
	minRefreshInterval = 200 * time.Millisecond // Refresh doesn't cancel a watch that was sent less than this ago
	maxExtraTimeout    = 12 * time.Second       // the limit of watch.extraTimeout
)

// unansweredFraction is the fraction that counts of the time for which the owner says that it left a watch unanswered, since
// clocks may differ in speed.
const unansweredFraction = 0.97

// failuresBeforeLog is the number of failures in a row after which they are logged, once.
const failuresBeforeLog = 10

// watch is the state of Run, over one watch after the other.
type watch struct {
	target    string
	failures  int // in a row
	hints     hints
	complete  bool // request the complete document
	immediate bool // request an answer at once, since Refresh was called

	// extraTimeout is added to the timeout of a watch that may be answered with a configuration; that may be a complete one,
	// whatever was requested. It grows each time that none arrived in time, since on a slow link none ever would if all
	// attempts were as short as the first, and is 0 again after the first that did.
	extraTimeout time.Duration
}

// Run keeps a watch open at the owner of the configuration until ctx ends, then returns.
func (d *Directory) Run(ctx context.Context) {
	w := &watch{target: d.firstTarget(protocol.ConfigurationShard)}
	for !isDone(ctx) {
		d.watchOnce(ctx, w)
	}
}

// watchOnce sends one watch, handles its response, and waits for the time that is due before the next one.
func (d *Directory) watchOnce(ctx context.Context, w *watch) {
	sentAt := d.options.Clock.Now()
	response, refreshed, err := d.sendWatch(ctx, w)
	switch {
	case isDone(ctx):
	case err == nil:
		w.immediate = false
		d.accept(ctx, w, response, sentAt)
	case refreshed:
		w.immediate = true
	default:
		d.handleFailure(ctx, w, err)
	}
}

// sendWatch sends one watch and returns its response. refreshed is true if it failed because Refresh canceled it.
func (d *Directory) sendWatch(ctx context.Context, w *watch) (response *protocol.WatchResponse, refreshed bool, err error) {
	if w.target == "" {
		return nil, false, failure.New(failure.Unavailable, "no control process is known")
	}
	request := d.newWatchRequest(w)
	timeout := time.Duration(request.WaitMs)*time.Millisecond + watchSlack + w.extraTimeout
	bounded, cancel := d.withTimeout(ctx, timeout)
	defer cancel()
	if !w.immediate && w.extraTimeout == 0 {
		d.allowRefresh(cancel)
	}
	response = &protocol.WatchResponse{}
	sentAt := d.options.Clock.Now()
	err = d.do(bounded, w, request, response)
	refreshed = d.endRefresh()
	if !request.OwnersOnly && err != nil && d.options.Clock.Since(sentAt) >= timeout {
		w.extraTimeout = min(max(2*w.extraTimeout, timeout), maxExtraTimeout)
	}
	if err == nil {
		err = decompress(response)
	}
	return response, refreshed && err != nil, err
}

// do sends a watch. A peer that is given extra time is probed meanwhile: the connection is closed if it is unresponsive.
func (d *Directory) do(ctx context.Context, w *watch, request *protocol.WatchRequest, response *protocol.WatchResponse) error {
	if w.extraTimeout > 0 {
		return d.options.Client.Do(ctx, w.target, request, response)
	}
	return d.options.Client.DoLong(ctx, w.target, request, response)
}

// allowRefresh lets Refresh cancel the present watch.
func (d *Directory) allowRefresh(cancel context.CancelFunc) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.cancelWatch = cancel
	d.watchSentAt = d.options.Clock.Now()
}

// endRefresh ends what allowRefresh began, and reports whether Refresh canceled the watch.
func (d *Directory) endRefresh() bool {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	refreshed := d.refreshed
	d.cancelWatch, d.refreshed = nil, false
	return refreshed
}

// newWatchRequest returns the request of the next watch.
func (d *Directory) newWatchRequest(w *watch) *protocol.WatchRequest {
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
	if w.complete {
		request.Version, request.Changes = 0, false
	}
	if w.immediate {
		request.WaitMs = 0
	}
	return request
}

// accept handles the response to a watch that was sent at sentAt.
func (d *Directory) accept(ctx context.Context, w *watch, response *protocol.WatchResponse, sentAt time.Time) {
	update := d.apply(response)
	confirmedAt := d.confirmationTime(response, sentAt)
	if update.stale {
		_ = level.Warn(d.options.Logger).Log("message", "older configuration ignored", "peer", w.target,
			"version", response.Version, "held", d.Version())
		d.handleFailure(ctx, w, errors.New("an older configuration"))
		return
	}
	d.endFailures(w)
	if d.options.OnRelays != nil && len(response.Relays) > 0 {
		d.options.OnRelays(response.Relays)
	}
	w.extraTimeout = 0
	if update.incomplete {
		w.complete = true
		d.limitRate(ctx, sentAt)
		return
	}
	if !d.deliver(ctx, w, response.Version, update.configuration) {
		return
	}
	w.complete = false
	d.confirm(w.target, response.Version, confirmedAt)
	if update.configuration == nil {
		d.limitRate(ctx, sentAt)
	}
}

// deliver calls OnConfiguration with a newer configuration, if there is one, and reports whether it was accepted. Otherwise
// the next watch requests the complete document.
func (d *Directory) deliver(ctx context.Context, w *watch, version uint64, configuration []byte) bool {
	if configuration == nil || d.options.OnConfiguration == nil {
		return true
	}
	err := d.options.OnConfiguration(version, configuration)
	if err == nil {
		return true
	}
	_ = level.Warn(d.options.Logger).Log("msg", "configuration rejected, the complete one is requested", "version", version,
		"err", err)
	if w.complete {
		d.sleep(ctx, maxWatchBackoff) // that was the complete one
	}
	w.complete = true
	return false
}

// confirmationTime returns a time at which what a response says was certainly current: the owner asked for the confirmation of
// its leadership HeldMs after it had received the watch, which was sent at sentAt.
func (d *Directory) confirmationTime(response *protocol.WatchResponse, sentAt time.Time) time.Time {
	unanswered := time.Duration(float64(max(response.HeldMs, 0)) * unansweredFraction * float64(time.Millisecond))
	confirmed := sentAt.Add(unanswered)
	if now := d.options.Clock.Now(); confirmed.After(now) {
		return now
	}
	return confirmed
}

// apply applies a response to the view.
func (d *Directory) apply(response *protocol.WatchResponse) viewUpdate {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	update := d.view.apply(response, d.options.OnConfiguration == nil)
	if update.ownersChanged {
		d.notifyOwnersChanged()
	}
	return update
}

// confirm records that a version was accepted, when it was current, and that its sender owns the configuration.
func (d *Directory) confirm(from string, version uint64, confirmedAt time.Time) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.view.setVersion(version)
	d.view.confirm(confirmedAt)
	d.view.setOwner(protocol.ConfigurationShard, from)
}

// handleFailure selects the target of the next watch after a failure, and waits. The first time that a target is
// unresponsive it doesn't wait, as the timeout was wait enough.
func (d *Directory) handleFailure(ctx context.Context, w *watch, err error) {
	leader := failure.LeaderOf(err)
	isHint := leader != "" && leader != w.target
	if isHint && w.hints.followAtOnce() {
		w.target = leader
		return
	}
	w.failures++
	d.logFailure(w, err)
	w.hints.waited()
	if isHint && w.hints.followAfterWait() {
		w.target = leader
	} else {
		w.hints = hints{}
		d.avoid(protocol.ConfigurationShard, w.target)
		w.target = d.targetAfter(w.target)
	}
	if failure.KindOf(err) == failure.UnknownOutcome && w.failures == 1 {
		return
	}
	d.sleep(ctx, watchBackoff(w.failures))
}

// endFailures ends a row of failures.
func (d *Directory) endFailures(w *watch) {
	if w.failures >= failuresBeforeLog {
		_ = level.Info(d.options.Logger).Log("message", "the configuration's owner answers", "peer", w.target)
	}
	w.failures, w.hints = 0, hints{}
}

// logFailure logs that the owner can't be found, once in a row of failures.
func (d *Directory) logFailure(w *watch, err error) {
	if w.failures == failuresBeforeLog {
		_ = level.Warn(d.options.Logger).Log("message", "the configuration's owner is not found", "cause", err)
	}
}

// watchBackoff returns how long to wait after so many failures in a row.
func watchBackoff(failures int) time.Duration {
	return min(minWatchBackoff<<min(failures-1, 3), maxWatchBackoff)
}

// limitRate waits for minWatchInterval after a response that came sooner than that.
func (d *Directory) limitRate(ctx context.Context, sentAt time.Time) {
	if d.options.Clock.Since(sentAt) < minWatchInterval {
		d.sleep(ctx, minWatchInterval)
	}
}

// sleep waits for the given time or until ctx ends.
func (d *Directory) sleep(ctx context.Context, duration time.Duration) {
	d.waitForOwners(ctx, duration, nil)
}
