// Package udp runs a fleet.Core on one UDP socket, with one clock and one goroutine that owns the core. It works on Linux
// only, as it reads refusals from the socket's error queue and times from CLOCK_BOOTTIME.
package udp

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/sirupsen/logrus"
	"golang.org/x/sys/unix"

	"ospreypond/internal/dispatcher/fleet"
	"ospreypond/internal/dispatcher/fleet/packet"
)

const (
	// maxInbox is the number of datagrams and refusals that may wait for the core. Further ones are dropped and counted. The
	// protocol tolerates this, as it tolerates datagrams that the network loses.
	maxInbox = 512
	// bindRetryInterval is the time between two attempts to bind an address that another process still has, such as the
	// predecessor in an upgrade in place.
	bindRetryInterval = 250 * time.Millisecond
	// leaveGrace is the time between writing the last datagrams and closing the socket.
	leaveGrace = 50 * time.Millisecond
)

// Options configure a node.
type Options struct {
	// Listen is the ip:port to which the socket is bound.
	Listen string
	// Self must have Name and Addr, the address at which others reach the socket, and has the Zone. Run sets its Epoch from
	// this machine's clock.
	Self   fleet.Record
	Config fleet.Config
	Codec  *packet.Codec
	// OnOwnership, if set, is called by Run's goroutine with the numbers that this dispatcher owns, after each event. It must
	// not block.
	OnOwnership func(Ownership)
	Log         logrus.FieldLogger
}

// Ownership says which numbers a dispatcher owns, and for how long.
type Ownership struct {
	Numbers []int // ascending; none until the socket is bound and every proof of death of this dispatcher has expired
	// ValidFor is how long from now all of Numbers may be used without a further report. After it only the dispatcher's own
	// number may be used.
	ValidFor time.Duration
	Living   int // living members in the view, this one included: an estimate, on which safety must not depend
}

// View is a copy of the membership view, for operators.
type View struct {
	fleet.Snapshot
	// At is when the copy was made, by the same clock as Since and the members' Since.
	At time.Duration
	// Dropped counts, by reason, the datagrams that were received without effect or could not be sent.
	Dropped map[string]int64
}

// Node makes one dispatcher a member of the fleet. View may be called by any goroutine, Run only once.
type Node struct {
	opt  Options
	view atomic.Pointer[View]

	mu      sync.Mutex
	dropped map[string]int64

	// Only Run's goroutine uses the fields below.
	core             *fleet.Core
	supersededLogged bool
	addrs            map[string]netip.AddrPort // parsed addresses by their text
}

// event is a packet that arrived through the socket, or a refusal.
type event struct {
	from   string        // sender of the packet, or address of the machine that refused
	packet *fleet.Packet // nil: the event is a refusal
	seq    uint64        // of a refusal: Seq of the refused datagram
}

// SocketError is a failure to bind the fleet's socket, or a failure of the bound socket.
type SocketError struct {
	Addr string
	Fix  string // the remedy for an operator
	Err  error
}

// Error names the address, the cause and the remedy.
func (e *SocketError) Error() string {
	return fmt.Sprintf("fleet: socket %s: %v (%s)", e.Addr, e.Err, e.Fix)
}

// Unwrap returns the cause.
func (e *SocketError) Unwrap() error { return e.Err }

// New returns a node that is idle until Run is called.
func New(opt Options) *Node {
	return &Node{opt: opt, dropped: map[string]int64{}, addrs: map[string]netip.AddrPort{}}
}

// View returns the newest copy of the view, or nil if there is none yet because the socket is not bound.
func (n *Node) View() *View {
	v := n.view.Load()
	if v == nil {
		return nil
	}
	c := *v
	n.mu.Lock()
	defer n.mu.Unlock()
	c.Dropped = maps.Clone(n.dropped)
	return &c
}

// Run takes part in the fleet until ctx ends, then leaves and returns nil. While another process has the address, Run waits,
// so that of two processes at one address only one takes part. An error is a *SocketError or an error of fleet.New. Before
// Run returns, the last Ownership that it has reported, if any, has no numbers.
func (n *Node) Run(ctx context.Context) error {
	conn, err := n.bind(ctx)
	if err != nil || conn == nil {
		return err
	}
	var reader sync.WaitGroup
	defer func() {
		defer reader.Wait()                  // the reader ends when the socket is closed
		if err := conn.Close(); err != nil { // the reader has already reported the cause if the socket failed
			n.opt.Log.WithError(err).Debug("fleet: closing the socket failed")
		}
	}()
	self := n.opt.Self
	self.Epoch = uint64(time.Now().UnixMilli())
	if n.core, err = fleet.New(n.opt.Config, self, now()); err != nil {
		return err
	}
	n.opt.Log.WithFields(logrus.Fields{"addr": self.Addr, "life": self.Epoch}).Info("fleet: taking part")
	events := make(chan event, maxInbox)
	reading := make(chan error, 1)
	reader.Go(func() { reading <- n.readLoop(conn, events) })
	wake := time.NewTimer(0)
	defer wake.Stop()
	for {
		select {
		case <-ctx.Done():
			n.core.Leave(now())
			n.notify(Ownership{}) // before the socket closes, as others may use this dispatcher's number from then on
			n.send(conn)
			time.Sleep(leaveGrace)
			return nil
		case err := <-reading:
			n.notify(Ownership{})
			return &SocketError{n.opt.Listen, "restart this dispatcher; until then it serves without any quota of the shared budgets", err}
		case e := <-events:
			n.handle(e)
		case <-wake.C:
			n.core.Tick(now())
		}
		n.publish(n.send(conn))
		wake.Reset(min(n.core.Wait(), time.Hour))
	}
}

// bind binds the socket, with its error queue enabled. It returns nil without an error if ctx ends first.
func (n *Node) bind(ctx context.Context) (*net.UDPConn, error) {
	lc := net.ListenConfig{Control: func(_, _ string, c syscall.RawConn) error {
		var set error
		err := c.Control(func(fd uintptr) { set = unix.SetsockoptInt(int(fd), unix.IPPROTO_IP, unix.IP_RECVERR, 1) })
		return errors.Join(err, set)
	}}
	for logged := false; ; logged = true {
		pc, err := lc.ListenPacket(ctx, "udp4", n.opt.Listen)
		if err == nil {
			return pc.(*net.UDPConn), nil
		}
		if !errors.Is(err, syscall.EADDRINUSE) {
			return nil, &SocketError{n.opt.Listen, "use an ip:port of this machine", err}
		}
		if !logged {
			n.opt.Log.WithField("addr", n.opt.Listen).Warn("fleet: another process has the address; waiting for it to end")
		}
		select {
		case <-ctx.Done():
			return nil, nil
		case <-time.After(bindRetryInterval):
		}
	}
}

// handle passes an event to the core.
func (n *Node) handle(e event) {
	if e.packet == nil {
		n.core.Refused(now(), e.from, e.seq)
		return
	}
	if v := n.core.Receive(now(), e.from, e.packet); v != fleet.Accepted {
		n.countDropped(v.String())
	}
}

// countDropped counts a datagram in View.Dropped.
func (n *Node) countDropped(reason string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.dropped[reason]++
}

// send sends the core's datagrams and logs the changes of its view. It reports whether there were any changes.
func (n *Node) send(conn *net.UDPConn) (changed bool) {
	out, changes := n.core.Take()
	for _, c := range changes {
		n.opt.Log.WithFields(logrus.Fields{"member": c.Member.Name, "addr": c.Member.Addr, "life": c.Member.Epoch,
			"incarnation": c.Member.Incarnation}).Info("fleet: " + c.Kind.String())
	}
	for _, d := range out {
		datagram, err := n.opt.Codec.Encode(d.Packet)
		if err != nil {
			n.countDropped("not sent: too long")
			continue
		}
		to, ok := n.addrs[d.To]
		if !ok {
			if to, err = netip.ParseAddrPort(d.To); err != nil {
				n.countDropped("not sent: no address")
				continue
			}
			n.addrs[d.To] = to
		}
		// The error of a write may be the refusal of an earlier datagram, which readRefusals handles. This datagram was not
		// sent in that case, so it is written again.
		if _, err := conn.WriteToUDPAddrPort(datagram, to); err != nil {
			if _, err = conn.WriteToUDPAddrPort(datagram, to); err != nil {
				n.countDropped("not sent: network")
			}
		}
	}
	return len(changes) > 0
}

// publish reports the owned numbers, and stores a copy of the view for View if the view has changed or the last copy is half
// an interval old. It doesn't copy it more often, as a copy contains all members.
func (n *Node) publish(changed bool) {
	at := now()
	numbers, validFor := n.core.OwnedNumbers(at)
	n.notify(Ownership{Numbers: numbers, ValidFor: validFor, Living: n.core.Living()})
	if last := n.view.Load(); !changed && last != nil && at-last.At < n.opt.Config.Interval/2 {
		return
	}
	v := &View{Snapshot: n.core.Snapshot(), At: at}
	n.view.Store(v)
	if v.Superseded && !n.supersededLogged {
		n.supersededLogged = true
		n.opt.Log.WithField("life", v.Self.Epoch).Warn("fleet: a later process has this name; this one takes no part any more")
	}
}

// notify calls OnOwnership, if it is set.
func (n *Node) notify(o Ownership) {
	if n.opt.OnOwnership != nil {
		n.opt.OnOwnership(o)
	}
}

// now reads a clock that never jumps and continues while the machine sleeps. With another clock, a proof of death could be
// used after it has expired.
func now() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		panic("fleet: this system has no CLOCK_BOOTTIME: " + err.Error())
	}
	return time.Duration(ts.Nano())
}
