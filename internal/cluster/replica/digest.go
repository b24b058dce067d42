package replica

import (
	"time"

	"ospreypond/internal/cluster/failure"
)

const (
	// digestPatience is how long an entry is waited for at which a digest is wanted.
	digestPatience = time.Second
	// maxDigests bounds how many digests of a group are waited for at once.
	maxDigests = 16
)

// Digester is a StateMachine that tells in short what it holds: equal states give equal digests, in every process.
type Digester interface {
	Digest() uint64
}

// digestRequest waits until an entry is applied.
type digestRequest struct {
	index    uint64
	deadline time.Duration
	done     func(digest uint64, err error)
}

// Digest tells a group's applied index and the digest of its state there; false if the group or its machine has none. It
// is called on the loop, and takes as long as a snapshot does.
func (e *Engine) Digest(id GroupID) (index, digest uint64, ok bool) {
	g := e.byID[id]
	if g == nil {
		return 0, 0, false
	}
	digester, ok := g.machine.(Digester)
	if !ok {
		return 0, 0, false
	}
	return g.appliedIndex, digester.Digest(), true
}

// DigestAt tells the digest of a group's state as of one index, so that members can be compared while entries come. done
// is called on the loop exactly once: with failure.Conflict where the state is beyond that index, and with
// failure.Unavailable where it does not get there in about a second.
func (e *Engine) DigestAt(id GroupID, index uint64, done func(digest uint64, err error)) {
	g := e.byID[id]
	if g == nil {
		done(0, failure.Newf(failure.Invalid, "there is no group %d", id))
		return
	}
	if len(g.digests) >= maxDigests {
		done(0, failure.New(failure.Overloaded, "too many digests are waited for"))
		return
	}
	g.digests = append(g.digests, digestRequest{index: index, deadline: e.now + digestPatience, done: done})
	g.settleDigests()
}

// settleDigests answers the requests for a digest at the index that is applied now, and those that come to nothing.
func (g *group) settleDigests() {
	waiting := g.digests
	g.digests = nil
	for _, request := range waiting {
		switch {
		case g.appliedIndex > request.index:
			request.done(0, failure.Newf(failure.Conflict, "entry %d is applied already", g.appliedIndex))
		case g.appliedIndex == request.index:
			_, digest, ok := g.engine.Digest(g.id)
			if !ok {
				request.done(0, failure.New(failure.Unavailable, "the state has no digest"))
				continue
			}
			request.done(digest, nil)
		case g.engine.now >= request.deadline:
			request.done(0, failure.Newf(failure.Unavailable, "only entry %d is applied", g.appliedIndex))
		default:
			g.digests = append(g.digests, request)
		}
	}
}

// failDigests answers all that wait when the engine ends.
func (g *group) failDigests() {
	waiting := g.digests
	g.digests = nil
	for _, request := range waiting {
		request.done(0, failure.New(failure.Unavailable, "the process ends"))
	}
}
