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

// Engine runs this process's members of all groups. Any goroutine may call Receive, Do and Self; all other methods must
// be called on the loop, see the package comment.
//
// All fields of type time.Duration in this package that name a time, such as now and the deadlines, are monotonic times
// since Engine.started.
type Engine struct {
	options Options
	self    consensus.Member
	started time.Time
	now     time.Duration // time of the current step, see advance

	groups      []*group // by rising ID
	byID        map[GroupID]*group
	peers       *peers
	outbox      *outbox
	writer      *writer
	lock        io.Closer      // unlocks the folder
	diskWorkers sync.WaitGroup // goroutines that use the disk
	transfers   leadershipTransfers

	decommission decommission // decommission of this process
	// approvedAt has for each member the time at which this process, as a leader, last approved the member's decommission.
	approvedAt map[consensus.MemberID]time.Duration

	failed     error         // the error that ends the engine; nil if there is none
	maintainAt time.Duration // when maintain is due next
	joinAt     time.Duration // when requestJoins is due next

	inbox          inbox
	spareEnvelopes []*Envelope // empty; the memory is for the inputs of a later step
	spareFunctions []func()    // empty, likewise

	// writingSnapshot is set while a snapshot of the state of one of this process's own state machines is being written.
	writingSnapshot bool
	// background calls work on another goroutine, and then calls on the loop the function that work returned. A Driver and
	// tests replace it.
	background func(work func() (then func()))
}

// newEngine returns an engine without groups.
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

// addGroup starts this process's member of a group from the state on the disk.
func (e *Engine) addGroup(id GroupID, machine StateMachine, opened *disk) error {
	restored := opened.restored(id)
	g := newGroup(e, id, machine, restored)
	if stored := opened.groups[id]; stored != nil && stored.Snapshot != nil {
		if err := machine.Restore(stored.Snapshot.Data); err != nil {
			return errors.Wrapf(err, "restore group %d from the snapshot on disk", id)
		}
	}
	e.groups = append(e.groups, g)
	e.byID[id] = g
	return nil
}

// Run runs the loop until ctx ends, and then returns nil. It returns an error if a state machine cannot restore a
// snapshot of its group. Before it returns, it fails all pending calls, and waits for the disk for diskCloseTimeout at
// most. The engine must not be used afterwards.
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

// failPending fails the pending calls of all groups. The engine calls it when it ends.
func (e *Engine) failPending() {
	for _, g := range e.groups {
		g.failPending()
	}
}

// diskCloseTimeout is how long Run waits at its end for writes that are in progress.
const diskCloseTimeout = 2 * time.Second

// closeDisk stops the disk's goroutine, waits for writes in progress, and unlocks the folder. If a write takes longer
// than diskCloseTimeout, the folder stays locked until the write returns or the process ends.
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

// Now returns the time of the current step of the loop, counted from Open. All inputs of the step had arrived by then.
func (e *Engine) Now() time.Duration { return e.now }

// Status returns the status of this process's member of a group, or the zero Status if the engine does not have the group.
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

// Members returns the members of a group by the newest membership in this process's log, committed or not.
func (e *Engine) Members(id GroupID) []consensus.Member { return e.Status(id).Members }
