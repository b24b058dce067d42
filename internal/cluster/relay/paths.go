package relay

import (
	"slices"
	"time"
)

// paths records which control processes this machine reaches directly, and which relays it may call. It does no I/O and
// reads no clock; the mutex of the Caller guards it.
type paths struct {
	relays    []string         // addresses of relays, the preferred one first
	byAddress map[string]*path // by address of a control process; no entry: it is neither suspect nor unreachable
}

// path is the state of the path from this machine to one control process. A direct answer deletes it.
type path struct {
	timedOutAt  time.Time // when a direct call last timed out; zero: none has since the last direct answer
	unreachable bool      // a relay reached the process, which has not answered directly since: calls are relayed at once
	probeAt     time.Time // if unreachable: when the next direct ping is due
}

const (
	// suspicionLifetime is how long a process is suspect after a direct call timed out. While it is, a direct call that
	// fails at once is relayed too: the transport fails calls at once during its backoff.
	suspicionLifetime = 5 * time.Second
	// probeInterval is the least time between two direct pings of a process that only relays reach.
	probeInterval = 500 * time.Millisecond
)

func newPaths() paths { return paths{byAddress: map[string]*path{}} }

// setRelays sets the relays that may be called. Relays that were set before and are set again keep their order, since
// demote has moved failed relays to the end. New relays follow them.
func (p *paths) setRelays(relays []string) {
	ordered := slices.DeleteFunc(slices.Clone(p.relays), func(known string) bool { return !slices.Contains(relays, known) })
	for _, each := range relays {
		if !slices.Contains(ordered, each) {
			ordered = append(ordered, each)
		}
	}
	p.relays = ordered
}

// preferred returns the address of the relay to call next, or "" if none is known.
func (p *paths) preferred() string {
	if len(p.relays) == 0 {
		return ""
	}
	return p.relays[0]
}

// demote makes a relay the least preferred one, after a call through it failed.
func (p *paths) demote(relay string) {
	at := slices.Index(p.relays, relay)
	if at < 0 {
		return
	}
	p.relays = append(slices.Delete(p.relays, at, at+1), relay)
}

// path returns the path to a control process, a new one if none is recorded.
func (p *paths) path(address string) *path {
	known := p.byAddress[address]
	if known == nil {
		known = &path{}
		p.byAddress[address] = known
	}
	return known
}

// recordAnswer records that a process has answered directly: it is neither suspect nor unreachable.
func (p *paths) recordAnswer(address string) { delete(p.byAddress, address) }

// recordTimeout records that a direct call to a process timed out.
func (p *paths) recordTimeout(address string, now time.Time) { p.path(address).timedOutAt = now }

// isSuspect reports whether a direct call to a process timed out within suspicionLifetime before now.
func (p *paths) isSuspect(address string, now time.Time) bool {
	known := p.byAddress[address]
	return known != nil && !known.timedOutAt.IsZero() && now.Sub(known.timedOutAt) < suspicionLifetime
}

// recordRelayed records that a relay reached a process. From now on calls to it are relayed at once, and the first direct
// ping is due after probeInterval.
func (p *paths) recordRelayed(address string, now time.Time) {
	if known := p.path(address); !known.unreachable {
		known.unreachable = true
		known.probeAt = now.Add(probeInterval)
	}
}

// isUnreachable reports whether calls to a process are relayed at once, since only relays reach it.
func (p *paths) isUnreachable(address string) bool {
	known := p.byAddress[address]
	return known != nil && known.unreachable
}

// probeDue reports whether a direct ping of an unreachable process is due, and if so sets the time of the next one. So it
// reports true at most once in probeInterval.
func (p *paths) probeDue(address string, now time.Time) bool {
	known := p.byAddress[address]
	if known == nil || !known.unreachable || now.Before(known.probeAt) {
		return false
	}
	known.probeAt = now.Add(probeInterval)
	return true
}
