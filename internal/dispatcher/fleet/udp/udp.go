// Package udp is the shell round the fleet's core: one UDP socket, one clock, and one goroutine that owns the core.
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
	// bindRetryInterval is how often an address is tried that another process has: at an upgrade in place the one before.
	bindRetryInterval = 250 * time.Millisecond
	// leaveGrace is for the last datagrams to get out.
	leaveGrace = 50 * time.Millisecond
)

// Options say how a dispatcher takes part.
type Options struct {
	// Listen is the socket's own ip:port.
	Listen string
	// Self needs Name, Addr (where others reach the socket) and Zone; its Life is taken from this machine's clock.
	Self   fleet.Record
	Config fleet.Config
	Codec  *packet.Codec
	// Held, if set, is told of the numbers that this dispatcher acts for, whenever they change or their time runs on, and of
	// how many are held to live. It must not block.
	OnOwnership func(Ownership)
	Log         logrus.FieldLogger
}

// Ownership are the numbers that a dispatcher acts for.
type Ownership struct {
	Numbers []int // rising; none until it has its socket and what others may have done for it is over
	// Sure is how long all of them may be used from now on without hearing more; then only its own.
	ValidFor time.Duration
	Living   int // a guess, for what costs time only
}

// View is what others may ask.
type View struct {
	fleet.Snapshot
	// At is when this was, by the clock that its Since and the members' are read off.
	At time.Duration
	// Dropped counts datagrams by the reason why nothing came of them.
	Dropped map[string]int64
}

// Node is one dispatcher's part in the fleet. Its methods are safe for concurrent use.
type Node struct {
	opt  Options
	view atomic.Pointer[View]

	mu      sync.Mutex
	dropped map[string]int64

	// The rest belongs to Run's goroutine.
	core             *fleet.Core
	supersededLogged bool // superseded, which was logged
	addrs            map[string]netip.AddrPort
}

// event is something that came through the socket.
type event struct {
	from   string
	packet *fleet.Packet // nil: a refusal of the datagram seq
	seq    uint64
}

// SocketError is the fleet's socket, which can't be had or broke.
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

// View returns the newest view; nil before the socket is had.
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

// Run takes part until ctx ends, and then leaves in order. While another process has the address it waits: of two under one
// name only the one with the socket takes part.
func (n *Node) Run(ctx context.Context) error {
	conn, err := n.bind(ctx)
	if err != nil || conn == nil {
		return err
	}
	defer func() {
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
	go func() { reading <- n.readLoop(conn, events) }()
	wake := time.NewTimer(0)
	defer wake.Stop()
	for {
		select {
		case <-ctx.Done():
			n.core.Leave(now())
			n.notify(Ownership{}) // from here on nothing is used, and the socket may go
			n.send(conn)
			time.Sleep(leaveGrace)
			return nil
		case err := <-reading:
			n.notify(Ownership{})
			return &SocketError{n.opt.Listen, "restart this dispatcher; it serves on, without any part of what is shared", err}
		case e := <-events:
			n.handle(e)
		case <-wake.C:
			n.core.Tick(now())
		}
		n.publish(n.send(conn))
		wake.Reset(min(n.core.Wait(), time.Hour))
	}
}

// bind gets the socket; nil if ctx ends first.
func (n *Node) bind(ctx context.Context) (*net.UDPConn, error) {
	lc := net.ListenConfig{Control: func(_, _ string, c syscall.RawConn) error {
		var set error
		err := c.Control(func(fd uintptr) { set = unix.SetsockoptInt(int(fd), unix.IPPROTO_IP, unix.IP_RECVERR, 1) })
		return errors.Join(err, set)
	}}
	for told := false; ; told = true {
		pc, err := lc.ListenPacket(ctx, "udp4", n.opt.Listen)
		if err == nil {
			return pc.(*net.UDPConn), nil
		}
		if !errors.Is(err, syscall.EADDRINUSE) {
			return nil, &SocketError{n.opt.Listen, "take an ip:port of this machine", err}
		}
		if !told {
			n.opt.Log.WithField("addr", n.opt.Listen).Warn("fleet: another process has the address; waiting for it to end")
		}
		select {
		case <-ctx.Done():
			return nil, nil
		case <-time.After(bindRetryInterval):
		}
	}
}

func (n *Node) handle(e event) {
	if e.packet == nil {
		n.core.Refused(now(), e.from, e.seq)
		return
	}
	if v := n.core.Receive(now(), e.from, e.packet); v != fleet.Accepted {
		n.countDropped(v.String())
	}
}

func (n *Node) countDropped(reason string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.dropped[reason]++
}

// send sends what the core has to say and logs what it saw; it tells whether anything changed.
func (n *Node) send(conn *net.UDPConn) (changed bool) {
	out, changes := n.core.Take()
	for _, c := range changes {
		n.opt.Log.WithFields(logrus.Fields{"member": c.Member.Name, "addr": c.Member.Addr, "life": c.Member.Epoch,
			"incarnation": c.Member.Incarnation}).Info("fleet: " + c.Kind.String())
	}
	for _, d := range out {
		text, err := n.opt.Codec.Encode(d.Packet)
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
		// An error may be an earlier datagram's refusal, which is read where refusals are; then this one was not sent.
		if _, err := conn.WriteToUDPAddrPort(text, to); err != nil {
			if _, err = conn.WriteToUDPAddrPort(text, to); err != nil {
				n.countDropped("not sent: network")
			}
		}
	}
	return len(changes) > 0
}

// publish tells of the numbers, and lets others see the view: when it changed, and else now and then, as it is a copy of all
// members.
func (n *Node) publish(changed bool) {
	at := now()
	numbers, sure := n.core.OwnedNumbers(at)
	n.notify(Ownership{Numbers: numbers, ValidFor: sure, Living: n.core.Living()})
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

func (n *Node) notify(h Ownership) {
	if n.opt.OnOwnership != nil {
		n.opt.OnOwnership(h)
	}
}

// now reads a clock that never jumps and that goes on while the machine sleeps: leases hold by it.
func now() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		panic("fleet: this system has no CLOCK_BOOTTIME: " + err.Error())
	}
	return time.Duration(ts.Nano())
}
