// Package directory keeps frontends and agents informed of the current configuration and of the owner of each shard, and
// sends calls to the owners.
//
// A Directory is a client of the control processes. Run keeps one watch open at the owner of the configuration, a long poll
// that is answered when there is something newer; Call sends requests to the owner of a shard, follows hints to new owners
// and retries as far as that is safe. What a Directory knows may be out of date, but it never goes back to an older
// configuration, and Fresh and ConfirmedSince report how recently it was confirmed. Run must be called once, in a goroutine
// that the caller waits for; all other methods, and Call, may be called by many goroutines.
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

// Caller sends requests to an address and decodes the response; transport.Client is one. Errors are of the kinds of package
// failure. DoLong is Do for requests that the peer may leave unanswered for long, during which it is not probed.
type Caller interface {
	Do(ctx context.Context, address string, request, response any) error
	DoLong(ctx context.Context, address string, request, response any) error
}

// Options are the settings of a Directory. Client is required; without seeds it knows no process until SetSeeds.
type Options struct {
	Client Caller
	Seeds  []string // internal addresses of control processes to start from
	Node   string   // this machine's name
	Zone   string   // of this machine
	Relay  string   // internal address at which this process relays calls; empty: it doesn't
	Clock  clockwork.Clock
	Logger log.Logger
	// Wait is how long the owner of the configuration may leave a watch unanswered while there is nothing newer; 0: a second.
	Wait time.Duration
	// OnConfiguration is called with each newer version of the configuration before Version returns it. document is a feed
	// for configuration.Advance: the complete document, or the changes since the version before. It is called by the
	// goroutine of Run, with rising versions. If it returns an error, the version doesn't count as known, and the complete
	// document is requested. If it is nil, only members and owners are watched.
	OnConfiguration func(version uint64, document []byte) error
	// OnRelays is called by the goroutine of Run with the relays that this process may use, each time that the owner sends
	// them. If it is nil, they are ignored.
	OnRelays func(relays []protocol.Relay)
}

// Directory is what a process knows of the cluster. It is safe for concurrent use.
type Directory struct {
	options     Options
	withTimeout func(ctx context.Context, span time.Duration) (context.Context, context.CancelFunc) // by the clock of the options

	mutex       sync.Mutex
	view        *view
	changed     chan struct{}      // closed and replaced when owners change
	cancelWatch context.CancelFunc // of the present watch; nil: there is none that Refresh may cancel
	refreshed   bool               // Refresh canceled it
	watchSentAt time.Time          // when it was sent
}

// New returns a Directory that knows only the seeds until Run is called.
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
	withTimeout := func(ctx context.Context, span time.Duration) (context.Context, context.CancelFunc) {
		return deadline.WithTimeout(ctx, options.Clock, span)
	}
	d := &Directory{
		options:     options,
		withTimeout: withTimeout,
		view:        newView(options.Seeds),
		changed:     make(chan struct{}),
	}
	d.view.startAtPosition(positionOf(options.Node))
	return d
}

// positionOf returns a hash of a machine's name, by which machines are spread over the processes that they call first.
func positionOf(node string) uint32 {
	hash := fnv.New32a()
	_, _ = hash.Write([]byte(node))
	return hash.Sum32()
}

// Version returns the newest version of the configuration that OnConfiguration accepted; 0 before the first.
func (d *Directory) Version() uint64 {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return d.view.version
}

// ConfirmedAt returns a time at which what this directory knows was certainly current. It is not after the moment at which
// the owner asked for the confirmation of its leadership with which it answered the newest watch. It is zero before the
// first answer.
func (d *Directory) ConfirmedAt() time.Time {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return d.view.confirmedAt
}

// Fresh reports whether what this directory knows was current at some moment within the given time before now.
func (d *Directory) Fresh(within time.Duration) bool {
	confirmed := d.ConfirmedAt()
	return !confirmed.IsZero() && d.options.Clock.Since(confirmed) <= within
}

// ConfirmedSince reports whether what this directory knows was current at some moment not before the given time.
func (d *Directory) ConfirmedSince(at time.Time) bool { return !d.ConfirmedAt().Before(at) }

// Owner returns the internal address of a shard's owner, or "" if it isn't known.
func (d *Directory) Owner(shard protocol.ShardID) string {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return d.view.owners[shard]
}

// Knows reports whether an address is a seed or that of a known control process.
func (d *Directory) Knows(address string) bool {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return slices.Contains(d.view.addresses, address)
}

// SetSeeds replaces the seeds of the options.
func (d *Directory) SetSeeds(seeds []string) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.view.setSeeds(seeds)
}

// Refresh cancels the present watch and sends one that is to be answered at once, so that an unresponsive owner of the
// configuration is noticed soon and new owners become known. It does nothing if the watch was sent less than
// minRefreshInterval ago.
func (d *Directory) Refresh() {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if d.cancelWatch == nil || d.options.Clock.Since(d.watchSentAt) < minRefreshInterval {
		return
	}
	d.refreshed = true
	d.cancelWatch()
	d.cancelWatch = nil
}

// recordOwner records a shard's owner, which answered as such or was named by another process.
func (d *Directory) recordOwner(shard protocol.ShardID, owner string) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if owner == "" || d.view.owners[shard] == owner {
		return
	}
	d.view.setOwner(shard, owner)
	d.notifyOwnersChanged()
}

// avoid records that an address was of no use: it is not the shard's owner, and others are called first.
func (d *Directory) avoid(shard protocol.ShardID, address string) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.view.removeOwner(shard, address)
	d.view.avoid(address)
}

// notifyOwnersChanged wakes the calls that wait for owners to change. The mutex must be locked.
func (d *Directory) notifyOwnersChanged() {
	close(d.changed)
	d.changed = make(chan struct{})
}

// firstTarget returns the address to call first for a shard.
func (d *Directory) firstTarget(shard protocol.ShardID) string {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return d.view.firstTarget(shard)
}

// targetAfter returns the address to call after one that was of no use.
func (d *Directory) targetAfter(last string) string {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return d.view.targetAfter(last)
}
