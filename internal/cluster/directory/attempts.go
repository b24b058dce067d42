package directory

import (
	"time"

	"ospreypond/internal/cluster/failure"
)

const (
	minRetryBackoff = 30 * time.Millisecond
	maxRetryBackoff = 200 * time.Millisecond
)

// attempts decides what follows each attempt of one call to a shard's owner. It does no I/O and reads no clock.
type attempts struct {
	mayRepeat      bool
	unknownOutcome error // of the newest attempt that may have done something
	rejected       error // of the newest attempt that did nothing for want of an owner
	hints          hints
	backoffs       int
	unresponsive   string // the newest process whose response didn't come; a hint to it is not followed
}

// nextStep is what to do after an attempt.
type nextStep struct {
	done    bool
	err     error         // if done: the call's result
	target  string        // if not: the address to ask next; empty: the one after the last
	backoff time.Duration // the wait before that
	refresh bool          // the owner seems to have failed: have the watch find out who it is
}

// next returns what follows an attempt at target that ended with err.
func (a *attempts) next(target string, err error) nextStep {
	switch failure.KindOf(err) {
	case failure.None:
		return nextStep{done: true}
	case failure.NotLeader:
		a.rejected = err
		return a.follow(target, failure.LeaderOf(err))
	case failure.Unavailable:
		a.rejected = err
		return nextStep{backoff: a.backoff(), refresh: true}
	case failure.UnknownOutcome:
		a.unknownOutcome = err
		a.unresponsive = target
		if !a.mayRepeat {
			return nextStep{done: true, err: err, refresh: true}
		}
		return nextStep{backoff: a.backoff(), refresh: true}
	default:
		return nextStep{done: true, err: a.endError(err)}
	}
}

// follow follows the hint of a process that is not the owner, which is empty if it doesn't know the owner.
func (a *attempts) follow(target, leader string) nextStep {
	if leader == "" || leader == target || leader == a.unresponsive {
		a.unresponsive = "" // once: it may just have been slow
		return nextStep{backoff: a.backoff()}
	}
	if a.hints.followAtOnce() {
		return nextStep{target: leader}
	}
	if a.hints.followAfterWait() {
		return nextStep{target: leader, backoff: a.backoff()}
	}
	return nextStep{backoff: a.backoff()}
}

// backoff returns how long to wait; it grows with each call.
func (a *attempts) backoff() time.Duration {
	a.hints.waited()
	wait := minRetryBackoff << min(a.backoffs, 3)
	a.backoffs++
	return min(wait, maxRetryBackoff)
}

// endError returns the error of a call that ends with a definite error, or by its context if last is nil. An attempt with
// an unknown outcome outweighs everything that came after it.
func (a *attempts) endError(last error) error {
	switch {
	case a.unknownOutcome != nil:
		return a.unknownOutcome
	case last != nil:
		return last
	case a.rejected != nil:
		return a.rejected
	default:
		return failure.New(failure.Unavailable, "no time left to call the shard's owner")
	}
}
