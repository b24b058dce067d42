package replica

import (
	"context"
	"io"
	"sync"
	"time"

	"github.com/go-kit/log/level"
	"github.com/pkg/errors"

	"ospreypond/internal/cluster/consensus"
)

// Engine runs this process's members of all groups. Receive, Do and Self may be called by any goroutine; all other methods
// belong to the loop, see the package comment.
type Engine struct {
	options Options
	self    consensus.Member
	started time.Time
	now     time.Duration // monotonic time of the present step, since started

	groups      []*group
	byID        map[GroupID]*group
	peers       *peers
	outbox      *outbox
	writer      *writer
	lock        io.Closer
	diskWorkers sync.WaitGroup // goroutines that use the disk
	transfers   leadershipTransfers

	decommission decommission // of this process
	// approvedAt has the members whose decommission this process approved as a leader, and when.
	approvedAt map[consensus.MemberID]time.Duration

	failed     error         // why the engine cannot go on; nil: it can
	maintainAt time.Duration // when maintain is due
	joinAt     time.Duration // when requestJoins is due

	inbox          inbox
	spareEnvelopes []*Envelope
	spareFunctions []func()

	// writingSnapshot is set while a snapshot of this process's own state is being written.
	writingSnapshot bool
	// background runs work off the loop, and then on the loop the function that it returns. Tests replace it.
	background func(work func() (then func()))
}

func newEngine(options Options, opened *disk) *Engine {
	self := options.Self
	self.ID = opened.identity.ID
	self.Learner = false
	e := &Engine{
		options:    options,
		self:       self,
		started:    options.Clock.Now(),
		byID:       map[GroupID]*group{},
		peers:      newPeers(self),
		lock:       opened.lock,
		approvedAt: map[consensus.MemberID]time.Duration{},
	}
	e.inbox.wake = make(chan struct{}, 1)
	e.outbox = newOutbox(e)
	e.writer = newWriter(e, opened.log)
	e.background = func(work func() func()) {
		e.diskWorkers.Go(func() { e.Do(work()) })
	}
	e.peers.learnAddresses(opened.identity.First, e.now)
	return e
}

// addGroup starts this process's member of a group from what the disk has of it.
func (e *Engine) addGroup(id GroupID, machine StateMachine, opened *disk) error {
	restored := opened.restored(id)
	g := newGroup(e, id, machine, restored)
	if stored := opened.groups[id]; stored != nil && stored.Snapshot != nil {
		if err := machine.Restore(stored.Snapshot.Data); err != nil {
			return errors.Wrapf(err, "restore group %d", id)
		}
	}
	e.groups = append(e.groups, g)
	e.byID[id] = g
	return nil
}

// Run runs the loop. It returns nil after ctx has ended, or an error if a state machine cannot restore a snapshot of
// its group; the engine is unusable from then on. Before it returns it fails all pending calls, and waits up to
// diskCloseTimeout for the disk.
func (e *Engine) Run(ctx context.Context) error {
	_ = level.Info(e.options.Logger).Log("msg", "replica engine started", "id", uint64(e.self.ID), "address", e.self.Address,
		"groups", len(e.groups))
	stopDisk := e.writer.start()
	defer func() { e.closeDisk(stopDisk) }()
	timer := e.options.Clock.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			e.failPending()
			return nil
		case <-e.inbox.wake:
		case <-timer.Chan():
		}
		e.step()
		if e.failed != nil {
			e.failPending()
			return e.failed
		}
		timer.Reset(e.untilNextStep())
	}
}

// failPending fails all pending calls when the engine ends.
func (e *Engine) failPending() {
	for _, g := range e.groups {
		g.failPending()
	}
}

// diskCloseTimeout is how long Run waits for the disk when it ends.
const diskCloseTimeout = 2 * time.Second

// closeDisk waits for writes in progress and releases the folder's lock. If the disk hangs, the folder stays locked
// until the process ends.
func (e *Engine) closeDisk(stopDisk func()) {
	stopDisk()
	closed := make(chan struct{})
	go func() {
		e.diskWorkers.Wait()
		_ = e.lock.Close()
		close(closed)
	}()
	timer := e.options.Clock.NewTimer(diskCloseTimeout)
	defer timer.Stop()
	select {
	case <-closed:
	case <-timer.Chan():
	}
}

// Now returns the time of the present step of the loop, since Open. All that the step handles had arrived by then.
func (e *Engine) Now() time.Duration { return e.now }

// Status returns what this process knows of a group. The zero Status is returned for a group that the engine does not
// have.
func (e *Engine) Status(id GroupID) consensus.Status {
	if g := e.byID[id]; g != nil {
		return g.node.Status()
	}
	return consensus.Status{}
}

// LeaderAddress returns the internal address of a group's leader, or "" if it is not known.
func (e *Engine) LeaderAddress(id GroupID) string {
	return e.peers.address(e.Status(id).Leader)
}

// Members returns a group's members as this process knows them.
func (e *Engine) Members(id GroupID) []consensus.Member { return e.Status(id).Members }
