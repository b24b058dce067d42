// Package directory knows for frontends and agents which configuration is in force and which process owns each shard.
// It keeps one watch going at the owner of the configuration, and carries calls to the owners.
package directory

import (
	"context"
	"hash/fnv"
	"slices"
	"sync"
	"time"

	"github.com/go-kit/log"
	"github.com/jonboulle/clockwork"

	"ospreypond/internal/cluster/deadline"
	"ospreypond/internal/cluster/protocol"
)

// Caller is what carries calls; transport.Client is one.
type Caller interface {
	Do(ctx context.Context, address string, request, response any) error
	DoLong(ctx context.Context, address string, request, response any) error
}

// Options sets up a Directory.
type Options struct {
	Client Caller
	Seeds  []string // internal addresses to start from
	Node   string   // this machine's name
	Zone   string   // of this machine
	Relay  string   // internal address at which this process relays calls; empty: it does not
	Clock  clockwork.Clock
	Logger log.Logger
	// Wait is how long the owner of the configuration may hold a watch back while there is no news; 0: a second.
	Wait time.Duration
	// OnConfiguration is told each newer version of the configuration before Version returns it: the whole, or changes
	// from the version before on (see configuration.Advance). It is called from one goroutine, with rising versions. If
	// it returns an error, the version counts as unknown here, and the whole is asked for. If it is nil, only members
	// and owners are watched.
	OnConfiguration func(version uint64, document []byte) error
	// OnRelays is told newer relays that this process may use. nil: they are of no use here.
	OnRelays func(relays []protocol.Relay)
}

// Directory is safe for use by many goroutines.
type Directory struct {
	options Options
	bound   func(ctx context.Context, span time.Duration) (context.Context, context.CancelFunc) // for a time by the clock

	mutex     sync.Mutex
	view      *view
	changed   chan struct{}      // closed when owners change
	breakOff  context.CancelFunc // of the present watch; nil: there is none to be broken off
	refreshed bool               // it was broken off
	watchedAt time.Time          // its sending
}

// New returns a Directory that knows nothing until Run.
func New(options Options) *Directory {
	if options.Clock == nil {
		options.Clock = clockwork.NewRealClock()
	}
	if options.Wait <= 0 {
		options.Wait = defaultWait
	}
	if options.Logger == nil {
		options.Logger = log.NewNopLogger()
	}
	bound := func(ctx context.Context, span time.Duration) (context.Context, context.CancelFunc) {
		return deadline.WithTimeout(ctx, options.Clock, span)
	}
	d := &Directory{
		options: options,
		bound:   bound,
		view:    newView(options.Seeds),
		changed: make(chan struct{}),
	}
	d.view.startAt(placeOf(options.Node))
	return d
}

// placeOf spreads machines over the processes that they ask first.
func placeOf(node string) uint32 {
	hash := fnv.New32a()
	_, _ = hash.Write([]byte(node))
	return hash.Sum32()
}

// Version returns the version of the configuration that OnConfiguration was last told; 0 if none yet.
func (d *Directory) Version() uint64 {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return d.view.version
}

// ConfirmedAt returns a time not after the asking of the confirmation on which the newest watch was answered: what was
// in force then is known here. It is zero if there was none.
func (d *Directory) ConfirmedAt() time.Time {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return d.view.confirmedAt
}

// Fresh tells whether what is known here was in force at some moment within the last while.
func (d *Directory) Fresh(within time.Duration) bool {
	confirmed := d.ConfirmedAt()
	return !confirmed.IsZero() && d.options.Clock.Since(confirmed) <= within
}

// ConfirmedSince tells whether what is known here was in force at some moment not before that time.
func (d *Directory) ConfirmedSince(at time.Time) bool { return !d.ConfirmedAt().Before(at) }

// Owner returns the internal address of a shard's owner, as far as known, or "".
func (d *Directory) Owner(shard protocol.ShardID) string {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return d.view.owners[shard]
}

// Members returns the control processes, as far as known.
func (d *Directory) Members() []protocol.Member {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return slices.Clone(d.view.members)
}

// Knows tells whether an address is one of a control process, as far as known.
func (d *Directory) Knows(address string) bool {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return slices.Contains(d.view.addresses, address)
}

// SetSeeds replaces the addresses to start from.
func (d *Directory) SetSeeds(seeds []string) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.view.setSeeds(seeds)
}

// Refresh has the watch ask anew at once, so that a silent owner of the configuration is noticed soon and new owners
// become known. A watch sent a moment ago is left alone.
func (d *Directory) Refresh() {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if d.breakOff == nil || d.options.Clock.Since(d.watchedAt) < leastRefresh {
		return
	}
	d.refreshed = true
	d.breakOff()
	d.breakOff = nil
}

// noteOwner takes note of a shard's owner that another process has named.
func (d *Directory) noteOwner(shard protocol.ShardID, owner string) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if owner == "" || d.view.owners[shard] == owner {
		return
	}
	d.view.learn(shard, owner)
	d.announce()
}

// passOver takes note that a process did not help: it is not the shard's owner, and others are asked first.
func (d *Directory) passOver(shard protocol.ShardID, address string) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.view.forget(shard, address)
	d.view.doubt(address)
}

// announce wakes the calls that wait for owners to change. The mutex is held.
func (d *Directory) announce() {
	close(d.changed)
	d.changed = make(chan struct{})
}

// first returns whom to ask for a shard.
func (d *Directory) first(shard protocol.ShardID) string {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return d.view.first(shard)
}

// next returns whom to ask after one that could not help.
func (d *Directory) next(last string) string {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return d.view.after(last)
}
