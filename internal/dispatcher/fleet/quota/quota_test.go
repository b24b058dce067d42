package quota

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// Time advances in units in the state exploration. Proofs are valid for lease units, and budgets are counted in windows of
// guardTime units.
const (
	unit      = time.Second
	lease     = 2
	guardTime = 1
)

// model is a state of a fleet: for each number the process and its tracker, if one runs, and the datagrams in flight.
type model struct {
	now     time.Duration
	procs   []proc
	flights []flight
	used    []use // by number: the process that used it last, and when
}

// proc is the process of one number.
type proc struct {
	up      bool
	epoch   int
	tracker *Tracker
}

// flight is a refusal or an answer in flight to a process.
type flight struct {
	to, epoch int
	number    int           // of a refusal: the number with the refusing address; -1: it is an answer
	sent      time.Duration // when the refused or answered datagram was sent, on its sender's clock
	proofs    []Proof       // of an answer
}

// use is the last use of a number.
type use struct {
	who, epoch int
	at         time.Duration
}

func (m *model) clone() *model {
	c := &model{now: m.now, procs: append([]proc(nil), m.procs...), flights: append([]flight(nil), m.flights...),
		used: append([]use(nil), m.used...)}
	for i := range c.procs {
		if c.procs[i].up {
			l := *c.procs[i].tracker
			l.proofs = slices.Clone(l.proofs)
			c.procs[i].tracker = &l
		}
	}
	return c
}

// key returns a hash of the state to recognize visited states. Times are relative to now, and all times 9 or more units ago
// have the same key.
func (m *model) key() uint64 {
	old := func(t time.Duration) byte { return byte(min(9, (m.now-t)/unit)) }
	is := func(b bool) byte {
		if b {
			return 1
		}
		return 0
	}
	var b []byte
	for _, p := range m.procs {
		if b = append(b, '|'); !p.up {
			continue
		}
		b = append(b, old(p.tracker.boundAt))
		for n := range p.tracker.proofs {
			if p.tracker.isProvenDead(m.now, n) {
				b = append(b, ',', byte(n), old(p.tracker.proofs[n].sentAt), old(p.tracker.proofs[n].since))
			}
		}
	}
	for _, f := range m.flights {
		b = append(b, 'f', byte(f.to), byte(f.number), old(f.sent), is(f.epoch == m.procs[f.to].epoch))
		for _, p := range f.proofs {
			b = append(b, byte(p.Number), byte(p.Age/unit))
		}
	}
	for _, u := range m.used {
		b = append(b, 'u', byte(u.who), old(u.at), is(u.epoch == m.procs[max(0, u.who)].epoch))
	}
	return xxhash.Sum64(b)
}

// check makes every process use all its numbers, and returns an error if two processes use a number within the same window.
func (m *model) check() error {
	for i, p := range m.procs {
		if !p.up {
			continue
		}
		for _, n := range p.tracker.Numbers(m.now) {
			u := &m.used[n]
			if (u.who != i || u.epoch != p.epoch) && u.who >= 0 && m.now < u.at+guardTime*unit {
				return fmt.Errorf("at %v number %d is used by %d, and was by %d at %v", m.now, n, i, u.who, u.at)
			}
			*u = use{i, p.epoch, m.now}
		}
	}
	return nil
}

// next returns every state that can follow in one step: time advances, a process crashes or starts, a datagram is refused or
// answered at once or late. A datagram that is lost needs no step, as it changes no state.
func (m *model) next(starts int) (out []*model) {
	add := func(change func(c *model)) {
		c := m.clone()
		change(c)
		out = append(out, c)
	}
	add(func(c *model) { c.now += unit })
	for i, p := range m.procs {
		if p.up {
			add(func(c *model) { c.procs[i].up = false })
		} else if p.epoch < starts {
			add(func(c *model) { c.start(i) })
		}
		for j := range m.procs {
			if i != j && p.up {
				m.contact(i, j, add)
			}
		}
	}
	for k, f := range m.flights {
		add(func(c *model) { // the datagram arrives
			c.flights = append(c.flights[:k:k], c.flights[k+1:]...)
			if p := &c.procs[f.to]; p.up && p.epoch == f.epoch && f.number >= 0 {
				p.tracker.Refused(c.now, f.number, f.sent)
			} else if p.up && p.epoch == f.epoch {
				p.tracker.Merge(c.now, f.sent, f.proofs)
			}
		})
	}
	return out
}

// contact adds the states that can follow when process i sends a datagram to process j. To bound the number of states, only one
// datagram at a time can be in flight, for any number of steps; the remaining datagrams arrive at once.
func (m *model) contact(i, j int, add func(change func(c *model))) {
	epoch, late := m.procs[i].epoch, len(m.flights) == 0
	if !m.procs[j].up { // the machine refuses
		add(func(c *model) { c.procs[i].tracker.Refused(c.now, j, c.now) })
		if late {
			add(func(c *model) { c.flights = append(c.flights, flight{to: i, epoch: epoch, number: j, sent: c.now}) })
		}
		return
	}
	proofs := m.procs[j].tracker.Proofs(m.now, 9)
	if len(proofs) == 0 { // an answer without proofs has no effect
		return
	}
	add(func(c *model) { c.procs[i].tracker.Merge(c.now, c.now, proofs) })
	if late {
		add(func(c *model) {
			c.flights = append(c.flights, flight{to: i, epoch: epoch, number: -1, sent: c.now, proofs: proofs})
		})
	}
}

// start starts process i.
func (m *model) start(i int) {
	l, err := New(Config{Size: len(m.procs), Own: i, Lease: lease * unit, GuardTime: guardTime * unit}, m.now)
	if err != nil {
		panic(err)
	}
	m.procs[i] = proc{up: true, epoch: m.procs[i].epoch + 1, tracker: l}
}

// successors returns the number of processes that own more than one number.
func (m *model) successors() (n int) {
	for _, p := range m.procs {
		if p.up && len(p.tracker.Numbers(m.now)) > 1 {
			n++
		}
	}
	return n
}

// In every state that three dispatchers can reach within depth steps, with crashes, restarts, lost and late datagrams at any
// point, no number is used by two processes within the same window.
func TestNoNumberHasTwoOwners(t *testing.T) {
	depth := 9
	if testing.Short() {
		depth = 8
	}
	first := &model{now: time.Hour}
	for range 3 {
		first.procs = append(first.procs, proc{})
		first.used = append(first.used, use{who: -1})
	}
	for i := range first.procs {
		first.start(i)
	}
	first.now += 10 * unit
	level, seen, successions := []*model{first}, map[uint64]bool{}, 0
	visit := func(c *model) (isNew bool) {
		require.NoError(t, c.check())
		successions += c.successors()
		k := c.key()
		isNew = !seen[k]
		seen[k] = true
		return isNew
	}
	for range depth {
		var following []*model
		for _, m := range level {
			for _, c := range m.next(2) {
				if visit(c) {
					following = append(following, c)
				}
			}
		}
		level = following
	}
	t.Logf("%d states, %d owners of more than one number", len(seen), successions)
	assert.Positive(t, successions, "some process must own another number, or the check shows nothing")
}

// When 210 of 300 dispatchers are dead, each number has one owner, and no dispatcher owns more than 12 numbers (the mean is
// 3.3).
func TestSuccessorsAreSpread(t *testing.T) {
	const size, dead = 300, 210
	total, largest := 0, 0
	for own := dead; own < size; own++ {
		l, err := New(Config{Size: size, Own: own, Lease: time.Minute, GuardTime: time.Second}, 0)
		require.NoError(t, err)
		for n := range dead {
			l.Refused(2*time.Minute, n, 2*time.Minute)
		}
		got := len(l.Numbers(2*time.Minute + 2*time.Second))
		total, largest = total+got, max(largest, got)
	}
	assert.Equal(t, size, total, "each number has exactly one owner")
	assert.LessOrEqual(t, largest, 12)
}

// New rejects each invalid field with a *ConfigError that names it.
func TestConfigIsChecked(t *testing.T) {
	for field, cfg := range map[string]Config{
		"Size": {Lease: 1}, "Own": {Size: 3, Own: 3, Lease: 1}, "Lease": {Size: 3}, "GuardTime": {Size: 3, Lease: 1, GuardTime: -1},
	} {
		_, err := New(cfg, 0)
		var fault *ConfigError
		require.ErrorAs(t, err, &fault)
		assert.Equal(t, field, fault.Field)
	}
}

// A proof is valid from the time at which the refused datagram was sent, however late the refusal arrives. A dispatcher that
// starts waits until every proof of its death has expired, and for the guard time.
func TestProofsExpireConservatively(t *testing.T) {
	l, err := New(Config{Size: 2, Own: 0, Lease: 10 * time.Second, GuardTime: time.Second}, 0)
	require.NoError(t, err)
	assert.Equal(t, 11100*time.Millisecond, l.ReadyAt(), "the lease, 1% more for the drift of clocks, and the guard time")
	assert.Empty(t, l.Numbers(l.ReadyAt()-1))
	assert.Equal(t, []int{0}, l.Numbers(l.ReadyAt()))
	l.Refused(28*time.Second, 1, 20*time.Second)
	assert.Equal(t, []int{0}, l.Numbers(28*time.Second), "no number passes before the guard time has ended")
	assert.Equal(t, []int{0, 1}, l.Numbers(29*time.Second))
	assert.Equal(t, []int{0}, l.Numbers(30*time.Second))
	l.Refused(41*time.Second, 1, 30*time.Second)
	assert.Empty(t, l.Proofs(41*time.Second, 9), "the refusal arrived after the proof had expired")
	l.Refused(50*time.Second, 1, 50*time.Second)
	l.Restart(52 * time.Second)
	assert.Empty(t, l.Numbers(53*time.Second), "after a restart it owns nothing")
}
