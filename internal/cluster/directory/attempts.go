package directory

import (
	"time"

	"ospreypond/internal/cluster/failure"
)

const (
	minRetryBackoff = 30 * time.Millisecond  // first wait between two attempts of a call; each further one is twice as long
	maxRetryBackoff = 200 * time.Millisecond // longest wait between two attempts of a call
)

// attempts decides what to do after each attempt of one call to a shard's owner. It does no I/O and reads no clock.
//
// Invariant: a call whose attempt may have been executed never ends with an error that rules out execution. So after an
// attempt with an unknown outcome, the call fails with UnknownOutcome unless a later attempt succeeds.
type attempts struct {
	mayRepeat      bool   // the request is idempotent: repeat it after an unknown outcome
	unknownOutcome error  // error of the newest attempt that may have been executed; nil: none
	rejected       error  // error of the newest attempt that reached no owner and so was not executed; nil: none
	hints          hints  // limits how hints are followed
	backoffs       int    // waits so far
	unresponsive   string // address of the newest process that did not respond; the next hint to it is not followed
}

// nextStep is the next step of a call after an attempt.
type nextStep struct {
	done    bool
	err     error         // if done: the call's error; nil: the attempt succeeded
	target  string        // if not done: the address to call next; empty: the next address in the view
	backoff time.Duration // if not done: how long to wait before the next attempt
	refresh bool          // the process may have failed: call Refresh, so that the watch learns the new owner soon
}

// next returns the call's next step after an attempt at target that ended with err.
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

// follow returns the next step after target answered that leader is the owner. An empty leader means that target knows no
// owner.
func (a *attempts) follow(target, leader string) nextStep {
	if leader == "" || leader == target || leader == a.unresponsive {
		a.unresponsive = "" // only this hint is ignored: the process may just have been slow
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

// backoff returns how long to wait before the next attempt. The wait doubles each time, up to maxRetryBackoff.
func (a *attempts) backoff() time.Duration {
	a.hints.waited()
	wait := minRetryBackoff << min(a.backoffs, 3)
	a.backoffs++
	return min(wait, maxRetryBackoff)
}

// endError returns the error of a call that ends without success. last is the error of the last attempt, or nil if the call
// ends because its context did. An earlier unknown outcome takes precedence over every later error.
func (a *attempts) endError(last error) error {
	switch {
	case a.unknownOutcome != nil:
		return a.unknownOutcome
	case last != nil:
		return last
	case a.rejected != nil:
		return a.rejected
	default:
		return failure.New(failure.Unavailable, "the call's context ended before the first attempt")
	}
}
