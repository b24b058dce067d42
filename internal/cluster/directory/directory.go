// Package directory tells frontends and agents the current configuration and the owner of each shard, and sends calls to the
// owners.
//
// A Directory is a client of the control processes. Run keeps one watch open at the owner of the configuration. A watch
// is a long poll: the owner answers it when there is a newer configuration or a change of owners, or after Options.Wait.
// Call sends a request to the owner of a shard, follows hints to new owners and retries where a second execution is safe.
//
// The information of a Directory may be out of date. It never goes back to an older configuration, and Fresh and
// ConfirmedSince report how recently the owner of the configuration confirmed it.
//
// Run must be called once, in a goroutine that the caller waits for. All other methods, and Call, may be called by many
// goroutines.
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

// Caller sends a request to an address and decodes the response. transport.Client and relay.Caller implement it. Errors
// have kinds of package failure. DoLong is Do for long polls: it doesn't probe the peer while it waits, since the peer
// may delay the response.
type Caller interface {
	Do(ctx context.Context, address string, request, response any) error
	DoLong(ctx context.Context, address string, request, response any) error
}

// Options are the settings of a Directory. Client is required. Without Seeds the Directory knows no process, and calls fail,
// until SetSeeds is called.
type Options struct {
	Client Caller
	Seeds  []string        // internal addresses of control processes: the only ones called before members are known
	Node   string          // name of this machine
	Zone   string          // zone of this machine
	Relay  string          // internal address at which this process relays calls; empty: it doesn't
	Clock  clockwork.Clock // nil: the system's clock
	Logger log.Logger      // nil: nothing is logged
	// Wait is how long the owner of the configuration may leave a watch unanswered while it has no newer state. 0 or less
	// means defaultWait.
	Wait time.Duration
	// OnConfiguration is called by the goroutine of Run with each newer version of the configuration, before Version returns
	// that version. document is an input of configuration.Advance: the complete document, or the changes since the version
	// that was accepted before. Versions rise. If OnConfiguration returns an error, Version stays as it was and the next
	// watch requests the complete document. If OnConfiguration is nil, only members and owners are watched.
	OnConfiguration func(version uint64, document []byte) error
	// OnRelays is called by the goroutine of Run with the relays that this process may use, each time the owner of the
	// configuration sends some. If it is nil, they are ignored.
	OnRelays func(relays []protocol.Relay)
}

// Directory holds a process's information about the cluster: the configuration's version, the members and the owners of
// shards. It is safe for concurrent use.
type Directory struct {
	options Options
	// withTimeout returns a context that ends after span by options.Clock. Tests replace it.
	withTimeout func(ctx context.Context, span time.Duration) (context.Context, context.CancelFunc)

	mutex       sync.Mutex
	view        *view
	changed     chan struct{}      // closed and replaced when an owner or a member changes
	cancelWatch context.CancelFunc // cancels the current watch; nil: there is none that Refresh may cancel
	refreshed   bool               // Refresh canceled the current watch
	watchSentAt time.Time          // when the watch that cancelWatch cancels was sent
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

// positionOf returns a hash of a machine's name. It selects the process that the machine calls first, so that machines
// spread evenly over the processes.
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

// ConfirmedAt returns a lower bound of the newest time at which this directory's information was certainly current, or
// zero before the first accepted answer to a watch. That newest time is the moment at which the owner of the
// configuration asked for the confirmation of its leadership with which it answered the newest accepted watch.
func (d *Directory) ConfirmedAt() time.Time {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return d.view.confirmedAt
}

// Fresh reports whether this directory's information was current at some moment within the given time before now.
func (d *Directory) Fresh(within time.Duration) bool {
	confirmed := d.ConfirmedAt()
	return !confirmed.IsZero() && d.options.Clock.Since(confirmed) <= within
}

// ConfirmedSince reports whether this directory's information was current at the given time or later.
func (d *Directory) ConfirmedSince(at time.Time) bool { return !d.ConfirmedAt().Before(at) }

// Owner returns the internal address of a shard's owner, or "" if it isn't known.
func (d *Directory) Owner(shard protocol.ShardID) string {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return d.view.owners[shard]
}

// Knows reports whether an address is a seed or belongs to a known control process.
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

// Refresh cancels the current watch and makes Run send one that the owner answers at once. So an unresponsive owner of
// the configuration is noticed soon, and new owners of shards become known. Refresh does nothing if the current watch was
// sent less than minRefreshInterval ago, was itself caused by Refresh, or has extra time for a slow link.
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

// recordOwner records a shard's owner: a process that answered as the owner, or that another process named.
func (d *Directory) recordOwner(shard protocol.ShardID, owner string) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if owner == "" || d.view.owners[shard] == owner {
		return
	}
	d.view.setOwner(shard, owner)
	d.notifyOwnersChanged()
}

// avoid records that the process at an address isn't the shard's owner or didn't respond. It is no longer recorded as the
// shard's owner. If calls to shards without a known owner started at it, they start at the next address from now on.
func (d *Directory) avoid(shard protocol.ShardID, address string) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.view.removeOwner(shard, address)
	d.view.avoid(address)
}

// notifyOwnersChanged ends the waits of calls for a change of owners. The caller must hold the mutex.
func (d *Directory) notifyOwnersChanged() {
	close(d.changed)
	d.changed = make(chan struct{})
}

// firstTarget returns the address to call first for a shard, see view.firstTarget.
func (d *Directory) firstTarget(shard protocol.ShardID) string {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return d.view.firstTarget(shard)
}

// targetAfter returns the address to call after last failed, see view.targetAfter.
func (d *Directory) targetAfter(last string) string {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return d.view.targetAfter(last)
}
