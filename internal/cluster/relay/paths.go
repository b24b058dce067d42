package relay

import (
	"slices"
	"time"
)

// paths is what is known of the paths to control processes: which of them this machine reaches directly, and who could
// relay. It has no I/O and no lock; the Caller guards it.
type paths struct {
	relays    []string         // the preferred one first
	byAddress map[string]*path // by address of a control process
}

// path is the path to one control process.
type path struct {
	timedOutAt  time.Time // when a direct call last timed out; zero: not since one was answered
	unreachable bool      // this machine does not reach it directly, but relays do
	probeAt     time.Time // unreachable: when it is probed directly again
}

const (
	// suspicionLifetime is how long a process counts as suspect after a timeout: a call that fails there at once is
	// relayed too.
	suspicionLifetime = 5 * time.Second
	// probeInterval is the time between two direct probes of a process that only relays reach.
	probeInterval = 500 * time.Millisecond
)

func newPaths() paths { return paths{byAddress: map[string]*path{}} }

// setRelays sets the relays that may be called. Those that are known keep their order, since the first ones have
// answered.
func (p *paths) setRelays(relays []string) {
	ordered := slices.DeleteFunc(slices.Clone(p.relays), func(known string) bool { return !slices.Contains(relays, known) })
	for _, each := range relays {
		if !slices.Contains(ordered, each) {
			ordered = append(ordered, each)
		}
	}
	p.relays = ordered
}

// preferred returns the relay to be called, or "".
func (p *paths) preferred() string {
	if len(p.relays) == 0 {
		return ""
	}
	return p.relays[0]
}

// demote makes a relay the least preferred one.
func (p *paths) demote(relay string) {
	at := slices.Index(p.relays, relay)
	if at < 0 {
		return
	}
	p.relays = append(slices.Delete(p.relays, at, at+1), relay)
}

func (p *paths) path(address string) *path {
	known := p.byAddress[address]
	if known == nil {
		known = &path{}
		p.byAddress[address] = known
	}
	return known
}

// recordAnswer records that a process has answered directly.
func (p *paths) recordAnswer(address string) { delete(p.byAddress, address) }

// recordTimeout records that a direct call to a process timed out.
func (p *paths) recordTimeout(address string, now time.Time) { p.path(address).timedOutAt = now }

// isSuspect reports whether a direct call to a process timed out lately.
func (p *paths) isSuspect(address string, now time.Time) bool {
	known := p.byAddress[address]
	return known != nil && !known.timedOutAt.IsZero() && now.Sub(known.timedOutAt) < suspicionLifetime
}

// recordRelayed records that a relay reached a process that had timed out here.
func (p *paths) recordRelayed(address string, now time.Time) {
	if known := p.path(address); !known.unreachable {
		known.unreachable = true
		known.probeAt = now.Add(probeInterval)
	}
}

// isUnreachable reports whether only relays reach a process.
func (p *paths) isUnreachable(address string) bool {
	known := p.byAddress[address]
	return known != nil && known.unreachable
}

// probeDue reports whether a process that only relays reach is to be probed directly now. It does so once an interval.
func (p *paths) probeDue(address string, now time.Time) bool {
	known := p.byAddress[address]
	if known == nil || !known.unreachable || now.Before(known.probeAt) {
		return false
	}
	known.probeAt = now.Add(probeInterval)
	return true
}
