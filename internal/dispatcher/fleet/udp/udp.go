// Package udp is the shell around the fleet's core: one UDP socket, one clock, and one goroutine that owns the core. Linux only: it
// reads refusals from the socket's error queue and times from CLOCK_BOOTTIME.
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
	// maxInbox is how many datagrams wait for the core; more are dropped and counted, as the network would.
	maxInbox = 512
	// bindRetryInterval is the time between two attempts to bind an address that another process has, as in an upgrade in place.
	bindRetryInterval = 250 * time.Millisecond
	// leaveGrace is the time that the last datagrams have to be sent before the socket closes.
	leaveGrace = 50 * time.Millisecond
)

// Options configure a node.
type Options struct {
	// Listen is the socket's own ip:port.
	Listen string
	// Self needs Name, Addr (where others reach the socket) and Zone; its Epoch is taken from this machine's clock.
	Self   fleet.Record
	Config fleet.Config
	Codec  *packet.Codec
	// OnOwnership, if set, is called by Run's goroutine with the numbers that this dispatcher owns, at least whenever they or the
	// number of living members change. It must not block.
	OnOwnership func(Ownership)
	Log         logrus.FieldLogger
}

// Ownership is which numbers a dispatcher owns.
type Ownership struct {
	Numbers []int // rising; none until the socket is bound and every proof of death against this dispatcher has expired
	// ValidFor is how long from now on all of them may be used without a further report; then only the dispatcher's own.
	ValidFor time.Duration
	Living   int // members that live, by the view: an estimate, on which no safety may rest
}

// View is a copy of the view, for operators.
type View struct {
	fleet.Snapshot
	// At is when it was taken, by the clock of its Since and the members'.
	At time.Duration
	// Dropped counts the datagrams that had no effect, by reason.
	Dropped map[string]int64
}

// Node is one dispatcher's member of the fleet. View may be called by any goroutine, Run once.
type Node struct {
	opt  Options
	view atomic.Pointer[View]

	mu      sync.Mutex
	dropped map[string]int64

	// The rest belongs to Run's goroutine.
	core             *fleet.Core
	supersededLogged bool
	addrs            map[string]netip.AddrPort // parsed, by their text
}

// event is a packet or a refusal that came through the socket.
type event struct {
	from   string
	packet *fleet.Packet // nil: a refusal of the datagram seq
	seq    uint64
}

// SocketError is a failure to bind the fleet's socket, or of the bound socket.
type SocketError struct {
	Addr string
	Fix  string // what an operator can do
	Err  error
}

// Error names the address, the cause and the remedy.
func (e *SocketError) Error() string {
	return fmt.Sprintf("fleet: socket %s: %v (%s)", e.Addr, e.Err, e.Fix)
}

// Unwrap returns the cause.
func (e *SocketError) Unwrap() error { return e.Err }

// New returns a node that does nothing until Run.
func New(opt Options) *Node {
	return &Node{opt: opt, dropped: map[string]int64{}, addrs: map[string]netip.AddrPort{}}
}

// View returns the newest view; nil before the socket is bound.
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

// Run takes part in the fleet until ctx ends, then leaves and returns nil. While another process has the address it waits, so that of
// two processes at one address only one takes part. An error is a *SocketError or the core's *fleet.ConfigError; the last
// Ownership it reported then has no numbers.
func (n *Node) Run(ctx context.Context) error {
	conn, err := n.bind(ctx)
	if err != nil || conn == nil {
		return err
	}
	var reader sync.WaitGroup
	defer func() {
		defer reader.Wait()                  // closing the socket ends it
		if err := conn.Close(); err != nil { // the reader has reported what made the socket fail
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
			n.notify(Ownership{}) // from here on no number is used, and the socket may be closed
			n.send(conn)
			time.Sleep(leaveGrace)
			return nil
		case err := <-reading:
			n.notify(Ownership{})
			return &SocketError{n.opt.Listen, "restart this dispatcher; it serves on, without any quota of what is shared", err}
		case e := <-events:
			n.handle(e)
		case <-wake.C:
			n.core.Tick(now())
		}
		n.publish(n.send(conn))
		wake.Reset(min(n.core.Wait(), time.Hour))
	}
}

// bind binds the socket, with the queue of refusals on; nil without an error if ctx ends first.
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
			return nil, &SocketError{n.opt.Listen, "take an ip:port of this machine", err}
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

// countDropped counts a datagram that had no effect.
func (n *Node) countDropped(reason string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.dropped[reason]++
}

// send sends the core's datagrams and logs its changes; it reports whether there were any changes.
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
		// An error may be the refusal of an earlier datagram, which readRefusals handles. This one was not sent then, so it is
		// sent again.
		if _, err := conn.WriteToUDPAddrPort(datagram, to); err != nil {
			if _, err = conn.WriteToUDPAddrPort(datagram, to); err != nil {
				n.countDropped("not sent: network")
			}
		}
	}
	return len(changes) > 0
}

// publish reports the owned numbers, and copies the view for View: when it changed, else only twice an interval, as it is a copy of
// all members.
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

// now reads a clock that never jumps and goes on while the machine sleeps, which leases need.
func now() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		panic("fleet: this system has no CLOCK_BOOTTIME: " + err.Error())
	}
	return time.Duration(ts.Nano())
}
