package replica

import (
	"time"

	"ospreypond/internal/cluster/failure"
)

const (
	// digestTimeout is how long DigestAt waits for its entry.
	digestTimeout = time.Second
	// maxDigests bounds the pending calls of DigestAt for one group.
	maxDigests = 16
)

// Digester is a StateMachine with a digest of its state: equal states have equal digests, in every process.
type Digester interface {
	Digest() uint64
}

// digestRequest is a pending call of DigestAt.
type digestRequest struct {
	index    uint64
	deadline time.Duration
	done     func(digest uint64, err error)
}

// Digest returns a group's applied index and the digest of its state there, or false if the engine does not have the
// group or its machine is no Digester. It must be called on the loop, and may take as long as a snapshot.
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

// DigestAt computes the digest of a group's state as of one index, so that members can be compared while entries are
// being applied. done is called on the loop exactly once: with failure.Conflict if the state is beyond that index
// already, with failure.Unavailable if it does not get there within digestTimeout or the machine is no Digester.
func (e *Engine) DigestAt(id GroupID, index uint64, done func(digest uint64, err error)) {
	g := e.byID[id]
	if g == nil {
		done(0, failure.Newf(failure.Invalid, "there is no group %d", id))
		return
	}
	if len(g.digests) >= maxDigests {
		done(0, failure.New(failure.Overloaded, "too many digests are pending"))
		return
	}
	g.digests = append(g.digests, digestRequest{index: index, deadline: e.now + digestTimeout, done: done})
	g.resolveDigests()
}

// resolveDigests calls back the requests for a digest at the index that is applied now, and those that failed.
func (g *group) resolveDigests() {
	pending := g.digests
	g.digests = nil
	for _, request := range pending {
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

// failDigests fails all pending requests when the engine ends.
func (g *group) failDigests() {
	pending := g.digests
	g.digests = nil
	for _, request := range pending {
		request.done(0, failure.New(failure.Unavailable, "the process ends"))
	}
}
