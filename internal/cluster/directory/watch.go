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
	defaultWait        = time.Second            // Options.Wait if it isn't set
	watchSlack         = 600 * time.Millisecond // added to the owner's wait; Run treats a slower owner as unresponsive
	minWatchBackoff    = 50 * time.Millisecond  // wait after the first failed watch; doubles with each further failure
	maxWatchBackoff    = 400 * time.Millisecond // longest wait after a failed watch
	minWatchInterval   = 50 * time.Millisecond  // wait after a faster answer without a new configuration
	minRefreshInterval = 200 * time.Millisecond // Refresh doesn't cancel a watch that was sent less than this ago
	maxExtraTimeout    = 12 * time.Second       // upper limit of watch.extraTimeout
)

// unansweredFraction is the fraction of HeldMs that confirmationTime counts. HeldMs is measured by the owner's clock, which
// may run faster than this machine's; with the full time the confirmation could be dated too late.
const unansweredFraction = 0.97

// failuresBeforeLog is the number of failed watches in a row after which the failure is logged, once.
const failuresBeforeLog = 10

// watch is the state that Run keeps from one watch to the next.
type watch struct {
	target    string // address to send the next watch to; empty: no control process is known
	failures  int    // failed watches in a row, without those after which a hint was followed at once
	hints     hints  // limits how hints to the owner of the configuration are followed
	complete  bool   // the next watch requests the complete document
	immediate bool   // the next watch requests an answer at once, since Refresh canceled the last one

	// extraTimeout is added to the timeout of a watch. On a slow link a large configuration takes longer than the normal
	// timeout, and would never arrive if every watch had only that. So extraTimeout grows with each watch that may be
	// answered with a configuration and timed out. The owner may send a complete configuration whatever was requested. After
	// the first response extraTimeout is 0 again.
	extraTimeout time.Duration
}

// Run sends one watch after the other to the owner of the configuration until ctx ends, then returns.
func (d *Directory) Run(ctx context.Context) {
	w := &watch{target: d.firstTarget(protocol.ConfigurationShard)}
	for !isDone(ctx) {
		d.watchOnce(ctx, w)
	}
}

// watchOnce sends one watch and handles its response or failure. It returns when the next watch is due.
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

// sendWatch sends one watch and returns its response. refreshed is true if the watch failed and Refresh had canceled it.
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

// do sends a watch and waits for the response. A normal watch is a long poll, during which the peer isn't probed. With extra
// time the timeout alone would notice an unresponsive peer too late, so do lets the client probe the peer.
func (d *Directory) do(ctx context.Context, w *watch, request *protocol.WatchRequest, response *protocol.WatchResponse) error {
	if w.extraTimeout > 0 {
		return d.options.Client.Do(ctx, w.target, request, response)
	}
	return d.options.Client.DoLong(ctx, w.target, request, response)
}

// allowRefresh lets Refresh cancel the watch that is about to be sent.
func (d *Directory) allowRefresh(cancel context.CancelFunc) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.cancelWatch = cancel
	d.watchSentAt = d.options.Clock.Now()
}

// endRefresh records that the watch has ended, so that Refresh can no longer cancel it. It reports whether Refresh
// canceled it.
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

// accept handles the response to a watch that was sent at sentAt. It treats a response with an older version as a
// failure. It confirms the view only if the view then has everything that the response announced.
func (d *Directory) accept(ctx context.Context, w *watch, response *protocol.WatchResponse, sentAt time.Time) {
	update := d.apply(response)
	confirmedAt := d.confirmationTime(response, sentAt)
	if update.stale {
		_ = level.Warn(d.options.Logger).Log("message", "older configuration ignored", "peer", w.target,
			"version", response.Version, "held", d.Version())
		d.handleFailure(ctx, w, errors.New("the response to a watch has an older configuration than is known here"))
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

// deliver calls OnConfiguration with a newer configuration, if there is one, and reports whether the version was accepted.
// If not, the next watch requests the complete document.
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
		d.sleep(ctx, maxWatchBackoff) // a complete document was rejected: the next one may be too
	}
	w.complete = true
	return false
}

// confirmationTime returns a lower bound of the time at which a response was certainly current. The owner received the
// watch after sentAt and asked for the confirmation of its leadership at least HeldMs later. At that moment the content
// was certainly current. The result is a lower bound of that moment, and never after the current time:
//
//	sentAt + HeldMs * unansweredFraction
func (d *Directory) confirmationTime(response *protocol.WatchResponse, sentAt time.Time) time.Time {
	unanswered := time.Duration(float64(max(response.HeldMs, 0)) * unansweredFraction * float64(time.Millisecond))
	confirmed := sentAt.Add(unanswered)
	if now := d.options.Clock.Now(); confirmed.After(now) {
		return now
	}
	return confirmed
}

// apply applies a response to the view, and ends the waits of calls if owners changed.
func (d *Directory) apply(response *protocol.WatchResponse) viewUpdate {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	update := d.view.apply(response, d.options.OnConfiguration == nil)
	if update.ownersChanged {
		d.notifyOwnersChanged()
	}
	return update
}

// confirm records that a version was accepted, that it was current at confirmedAt, and that the process at from owns the
// configuration.
func (d *Directory) confirm(from string, version uint64, confirmedAt time.Time) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.view.setVersion(version)
	d.view.confirm(confirmedAt)
	d.view.setOwner(protocol.ConfigurationShard, from)
}

// handleFailure selects the target of the next watch after a failure and waits for the backoff. It doesn't wait if it
// follows a hint at once. It doesn't wait either if the first failure in a row is an unknown outcome: a target that doesn't
// respond has already taken the time of the timeout.
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

// endFailures ends a row of failures, after a watch was answered. It logs that if the failures were logged.
func (d *Directory) endFailures(w *watch) {
	if w.failures >= failuresBeforeLog {
		_ = level.Info(d.options.Logger).Log("message", "the configuration's owner answers", "peer", w.target)
	}
	w.failures, w.hints = 0, hints{}
}

// logFailure logs that the owner of the configuration can't be found, at the failure number failuresBeforeLog in a row.
func (d *Directory) logFailure(w *watch, err error) {
	if w.failures == failuresBeforeLog {
		_ = level.Warn(d.options.Logger).Log("message", "the configuration's owner is not found", "cause", err)
	}
}

// watchBackoff returns how long to wait after the given number of failures in a row.
func watchBackoff(failures int) time.Duration {
	return min(minWatchBackoff<<min(failures-1, 3), maxWatchBackoff)
}

// limitRate waits for minWatchInterval if the watch that was sent at sentAt was answered faster than that. So an owner
// that answers at once without a new configuration isn't called in a tight loop.
func (d *Directory) limitRate(ctx context.Context, sentAt time.Time) {
	if d.options.Clock.Since(sentAt) < minWatchInterval {
		d.sleep(ctx, minWatchInterval)
	}
}

// sleep waits for the given time, or until ctx ends if that is earlier.
func (d *Directory) sleep(ctx context.Context, duration time.Duration) {
	d.waitForOwners(ctx, duration, nil)
}
