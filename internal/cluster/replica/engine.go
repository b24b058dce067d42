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

// Engine runs this process's members of all groups.
type Engine struct {
	options Options
	self    consensus.Member
	started time.Time
	now     time.Duration // steady time of the present turn

	groups []*group
	byID   map[GroupID]*group
	peers  *peers
	outbox *outbox
	writer *writer
	lock   io.Closer
	atDisk sync.WaitGroup // goroutines that write
	shifts shifts
	// departure is this process's end by plan.
	departure departure
	// released are the members that were told by this process that they may leave, and when.
	released map[consensus.MemberID]time.Duration
	failed   error         // the engine cannot go on
	manage   time.Duration // when membership and leadership are next looked at
	joins    time.Duration // when joining is next asked for

	inbox          inbox
	spareEnvelopes []*Envelope
	spareFunctions []func()

	// writing tells that a snapshot is being written.
	writing bool
	// background runs work off the loop and then what it returns on the loop; tests replace it.
	background func(work func() (then func()))
}

// inbox has what came from other goroutines since the last turn.
type inbox struct {
	mutex     sync.Mutex
	envelopes []*Envelope
	functions []func()
	wake      chan struct{} // holds one if there is anything
	notify    func()        // if set, called in place of filling wake
}

func newEngine(options Options, opened *disk) *Engine {
	self := options.Self
	self.ID = opened.identity.ID
	self.Learner = false
	e := &Engine{
		options:  options,
		self:     self,
		started:  options.Clock.Now(),
		byID:     map[GroupID]*group{},
		peers:    newPeers(self),
		lock:     opened.lock,
		released: map[consensus.MemberID]time.Duration{},
	}
	e.inbox.wake = make(chan struct{}, 1)
	e.outbox = newOutbox(e)
	e.writer = newWriter(e, opened.log)
	e.background = func(work func() func()) {
		e.atDisk.Go(func() { e.Do(work()) })
	}
	e.peers.learn(opened.identity.First, e.now)
	return e
}

// addGroup starts a group's member from the disk.
func (e *Engine) addGroup(id GroupID, machine StateMachine, opened *disk) error {
	restored := opened.restored(id)
	g := newGroup(e, id, machine, restored)
	if held := opened.groups[id]; held != nil && held.Snapshot != nil {
		if err := machine.Restore(held.Snapshot.Data); err != nil {
			return errors.Wrapf(err, "restore group %d", id)
		}
	}
	e.groups = append(e.groups, g)
	e.byID[id] = g
	return nil
}

// Run is the loop. It returns after ctx has ended, or with an error if a state machine cannot take its own group's
// snapshot; the engine is of no use from then on.
func (e *Engine) Run(ctx context.Context) error {
	_ = level.Info(e.options.Logger).Log("msg", "replica engine runs", "id", uint64(e.self.ID), "address", e.self.Address,
		"groups", len(e.groups))
	stopDisk := e.writer.start()
	defer func() { e.leaveDisk(stopDisk) }()
	timer := e.options.Clock.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			e.end()
			return nil
		case <-e.inbox.wake:
		case <-timer.Chan():
		}
		e.turn()
		if e.failed != nil {
			e.end()
			return e.failed
		}
		timer.Reset(e.pause())
	}
}

// end answers all that waits.
func (e *Engine) end() {
	for _, g := range e.groups {
		g.abandon()
	}
}

// diskPatience is how long Run waits at its end for the disk.
const diskPatience = 2 * time.Second

// leaveDisk waits for what is being written. If the disk hangs, the folder stays locked until the process ends.
func (e *Engine) leaveDisk(stopDisk func()) {
	stopDisk()
	left := make(chan struct{})
	go func() {
		e.atDisk.Wait()
		_ = e.lock.Close()
		close(left)
	}()
	timer := e.options.Clock.NewTimer(diskPatience)
	defer timer.Stop()
	select {
	case <-left:
	case <-timer.Chan():
	}
}

// Receive takes an envelope from another process. Any goroutine may call it.
func (e *Engine) Receive(envelope *Envelope) {
	e.inbox.mutex.Lock()
	e.inbox.envelopes = append(e.inbox.envelopes, envelope)
	e.inbox.mutex.Unlock()
	e.inbox.signal()
}

// Do runs f on the loop, after all that was given to Do before. Any goroutine may call it.
func (e *Engine) Do(f func()) {
	e.inbox.mutex.Lock()
	e.inbox.functions = append(e.inbox.functions, f)
	e.inbox.mutex.Unlock()
	e.inbox.signal()
}

func (i *inbox) signal() {
	if i.notify != nil {
		i.notify()
		return
	}
	select {
	case i.wake <- struct{}{}:
	default:
	}
}

func (i *inbox) take(envelopes []*Envelope, functions []func()) ([]*Envelope, []func()) {
	i.mutex.Lock()
	defer i.mutex.Unlock()
	envelopes, i.envelopes = i.envelopes, envelopes
	functions, i.functions = i.functions, functions
	return envelopes, functions
}

// Now is the steady time since Open of the present turn of the loop. All that the turn handles had come by then.
func (e *Engine) Now() time.Duration { return e.now }

// Status is what this process knows of a group. A group that the engine does not have gives the zero Status.
func (e *Engine) Status(id GroupID) consensus.Status {
	if g := e.byID[id]; g != nil {
		return g.node.Status()
	}
	return consensus.Status{}
}

// LeaderAddress is the internal address of a group's leader; empty if it is not known.
func (e *Engine) LeaderAddress(id GroupID) string {
	return e.peers.address(e.Status(id).Leader)
}

// Members is a group's membership as this process knows it.
func (e *Engine) Members(id GroupID) []consensus.Member { return e.Status(id).Members }
