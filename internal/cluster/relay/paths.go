package relay

import (
	"slices"
	"time"
)

// paths is what is known of the ways to control processes: which of them this machine reaches by itself, and who could
// relay. It is pure; the Caller guards it.
type paths struct {
	relays []string         // the one to be asked next first
	ways   map[string]*path // by address of a control process
}

// path is the way to one control process.
type path struct {
	silentAt time.Time // when a direct call was given up without an answer; zero: not since one was answered
	dark     bool      // relays reach it, and this machine does not
	probeAt  time.Time // dark: when it is tried directly again
}

const (
	// suspectFor is how long a process that was silent counts as suspect: a call that fails there at once is relayed too.
	suspectFor = 5 * time.Second
	// probeEvery is the time between two direct probes of a process that only relays reach.
	probeEvery = 500 * time.Millisecond
)

func newPaths() paths { return paths{ways: map[string]*path{}} }

// setRelays takes the relays that may be asked. Those that are known keep their order, since the first ones have answered.
func (p *paths) setRelays(relays []string) {
	kept := slices.DeleteFunc(slices.Clone(p.relays), func(known string) bool { return !slices.Contains(relays, known) })
	for _, each := range relays {
		if !slices.Contains(kept, each) {
			kept = append(kept, each)
		}
	}
	p.relays = kept
}

// first returns the relay to be asked, or "".
func (p *paths) first() string {
	if len(p.relays) == 0 {
		return ""
	}
	return p.relays[0]
}

// demote puts a relay behind the others.
func (p *paths) demote(relay string) {
	at := slices.Index(p.relays, relay)
	if at < 0 {
		return
	}
	p.relays = append(slices.Delete(p.relays, at, at+1), relay)
}

func (p *paths) way(address string) *path {
	known := p.ways[address]
	if known == nil {
		known = &path{}
		p.ways[address] = known
	}
	return known
}

// answered takes that a process has answered directly.
func (p *paths) answered(address string) { delete(p.ways, address) }

// silent takes that a direct call to a process was given up without an answer.
func (p *paths) silent(address string, now time.Time) { p.way(address).silentAt = now }

// isSuspect tells whether a process was silent of late.
func (p *paths) isSuspect(address string, now time.Time) bool {
	known := p.ways[address]
	return known != nil && !known.silentAt.IsZero() && now.Sub(known.silentAt) < suspectFor
}

// relayed takes that a relay reached a process that was silent here.
func (p *paths) relayed(address string, now time.Time) {
	if known := p.way(address); !known.dark {
		known.dark = true
		known.probeAt = now.Add(probeEvery)
	}
}

// isDark tells whether a process is reached by relays alone.
func (p *paths) isDark(address string) bool {
	known := p.ways[address]
	return known != nil && known.dark
}

// takeProbe tells whether a process that is reached by relays alone is to be tried directly now, once.
func (p *paths) takeProbe(address string, now time.Time) bool {
	known := p.ways[address]
	if known == nil || !known.dark || now.Before(known.probeAt) {
		return false
	}
	known.probeAt = now.Add(probeEvery)
	return true
}
