package replica

import (
	"time"

	"ospreypond/internal/cluster/failure"
)

const (
	// digestTimeout is the time after which DigestAt fails if its entry was not applied.
	digestTimeout = time.Second
	// maxDigests is how many calls of DigestAt may be pending for one group.
	maxDigests = 16
)

// Digester is an optional interface of a StateMachine. It lets members compare their states.
type Digester interface {
	// Digest returns a digest of the state. Equal states have equal digests in every process.
	Digest() uint64
}

// digestRequest is a pending call of DigestAt.
type digestRequest struct {
	index    uint64
	deadline time.Duration
	done     func(digest uint64, err error)
}

// Digest returns the index of the newest entry that a group has applied, and the digest of its state. It returns false if
// the engine does not have the group or the group's state machine is no Digester. It must be called on the loop, and may
// take as long as StateMachine.Snapshot.
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

// DigestAt computes the digest of a group's state right after the entry at an index was applied, so that members can be
// compared while entries are being applied. The engine calls done on the loop exactly once:
//   - with the digest;
//   - with failure.Conflict, if a later entry was applied already;
//   - with failure.Unavailable, if the entry is not applied within digestTimeout, the state machine is no Digester, or the
//     engine ends;
//   - with failure.Invalid, if the engine does not have the group;
//   - with failure.Overloaded, if maxDigests calls are pending for the group.
func (e *Engine) DigestAt(id GroupID, index uint64, done func(digest uint64, err error)) {
	g := e.byID[id]
	if g == nil {
		done(0, failure.Newf(failure.Invalid, "there is no group %d", id))
		return
	}
	if len(g.digests) >= maxDigests {
		done(0, failure.New(failure.Overloaded, "too many digests of this group are pending already"))
		return
	}
	g.digests = append(g.digests, digestRequest{index: index, deadline: e.now + digestTimeout, done: done})
	g.resolveDigests()
}

// resolveDigests resolves the requests for the index that was applied last, for earlier indexes, and past their deadline.
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
				request.done(0, failure.New(failure.Unavailable, "the group's state machine does not compute digests"))
				continue
			}
			request.done(digest, nil)
		case g.engine.now >= request.deadline:
			request.done(0, failure.Newf(failure.Unavailable, "timeout: the newest applied entry is %d", g.appliedIndex))
		default:
			g.digests = append(g.digests, request)
		}
	}
}

// failDigests fails all pending requests. The engine calls it when it ends.
func (g *group) failDigests() {
	pending := g.digests
	g.digests = nil
	for _, request := range pending {
		request.done(0, failure.New(failure.Unavailable, "the process ends"))
	}
}
