package agent

import "time"

// Bounds within which a heartbeat proves that its runner is what answers on a link.
const (
	// clockTolerance is how far the runner's clock in a heartbeat may be from the same clock on the link.
	clockTolerance = 150 * time.Millisecond
	// clockDrift is how far the runner's clock may drift from ours, as a share of the time between.
	clockDrift = 0.03
	// restartTime is less than a runner takes to end and come back as another incarnation.
	restartTime = 300 * time.Millisecond
)

// connect makes a link if there is none, and asks the runner's clock on it. Nothing is granted by that.
func (l *loop) connect() error {
	if l.link != nil {
		return nil
	}
	made, err := dialLink(l.ctx, l.address)
	if err != nil {
		return err
	}
	l.link = made
	seen, err := made.hold(l.ctx, terms{fenceToken: l.given.fenceToken}, 0)
	if err != nil {
		l.unlink()
		return err
	}
	l.linkedAt = l.service.clock.Now()
	l.linkClock = seen.clockMs
	l.confirmed = false
	return nil
}

// confirm tells whether it is certain that this loop's incarnation answers on the link, and not one that followed it
// at the same address: calls don't name the incarnation. What proves it is a heartbeat that was sent by the clock which
// answers on the link, and not long before the link was made.
func (l *loop) confirm() bool {
	if l.confirmed {
		return true
	}
	newest, arrived := l.registration.get()
	between := arrived.Sub(l.linkedAt)
	if between < -restartTime {
		return false
	}
	byRunner := time.Duration(newest.Heartbeat.ClockMs-l.linkClock) * time.Millisecond
	tolerance := clockTolerance + time.Duration(clockDrift*float64(between.Abs()))
	l.confirmed = (byRunner - between).Abs() <= tolerance
	return l.confirmed
}
