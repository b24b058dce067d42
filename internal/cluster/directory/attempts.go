package directory

import (
	"time"

	"ospreypond/internal/cluster/failure"
)

const (
	leastPause = 30 * time.Millisecond
	mostPause  = 200 * time.Millisecond
	mostHints  = 2 // hints to an owner followed at once, without a pause between
)

// attempts decides, call by call, what follows the attempts of one call to a shard's owner. It is pure.
type attempts struct {
	mayRepeat bool
	unknown   error // an attempt may have done something
	refused   error // newest error that says that nothing was done for want of an owner
	hints     int   // followed in a row
	paused    bool  // the newest hint after too many in a row was followed, after a pause
	pauses    int
	silent    string // newest process whose answer did not come; a hint to it is not followed
}

// step is what to do next.
type step struct {
	done   bool
	err    error         // done: the call's end
	target string        // else: whom to ask next; empty: the one after the last
	pause  time.Duration // before that
	doubt  bool          // the owner seems to be gone: learn anew who it is
}

// after returns what follows an attempt at target that ended with err.
func (a *attempts) after(target string, err error) step {
	switch failure.KindOf(err) {
	case failure.None:
		return step{done: true}
	case failure.NotLeader:
		a.refused = err
		return a.follow(target, failure.LeaderOf(err))
	case failure.Unavailable:
		a.refused = err
		return step{pause: a.pause(), doubt: true}
	case failure.UnknownOutcome:
		a.unknown = err
		a.silent = target
		if !a.mayRepeat {
			return step{done: true, err: err, doubt: true}
		}
		return step{pause: a.pause(), doubt: true}
	default:
		return step{done: true, err: a.end(err)}
	}
}

// follow goes where a process says that the owner is. After some hints in a row it pauses first, since an owner may not
// know yet that it is; and every other time it asks the others in turn, since those that gave the hints may go on taking
// each other for the owner.
func (a *attempts) follow(target, leader string) step {
	if leader == "" || leader == target || leader == a.silent {
		a.silent = "" // once: it may just have been slow
		return step{pause: a.pause()}
	}
	if a.hints < mostHints {
		a.hints++
		return step{target: leader}
	}
	a.paused = !a.paused
	if a.paused {
		return step{target: leader, pause: a.pause()}
	}
	return step{pause: a.pause()}
}

// pause returns how long to wait; it grows with each.
func (a *attempts) pause() time.Duration {
	a.hints = 0
	wait := leastPause << min(a.pauses, 3)
	a.pauses++
	return min(wait, mostPause)
}

// end returns the error of a call that ends with a definite error, or for want of time if last is nil.
func (a *attempts) end(last error) error {
	switch {
	case a.unknown != nil:
		return a.unknown
	case last != nil:
		return last
	case a.refused != nil:
		return a.refused
	default:
		return failure.New(failure.Unavailable, "no time to ask the shard's owner")
	}
}
