package udp

import (
	"encoding/binary"
	"errors"
	"net"
	"net/netip"
	"syscall"

	"golang.org/x/sys/unix"

	"ospreypond/internal/dispatcher/fleet/packet"
)

// readLoop reads datagrams and refusals from the socket until the socket is closed. It then returns an error that wraps
// net.ErrClosed.
func (n *Node) readLoop(conn *net.UDPConn, events chan<- event) error {
	raw, err := conn.SyscallConn()
	if err != nil {
		return err
	}
	buf := make([]byte, packet.MaxSize+1) // one byte more, so that Decode sees when a datagram is too long
	for {
		size, from, err := conn.ReadFromUDPAddrPort(buf)
		switch {
		case err == nil:
			n.receive(buf[:size], from, events)
		case errors.Is(err, net.ErrClosed):
			return err
		}
		// A refusal makes the read return an error that doesn't say which datagram was refused. The socket's error queue says
		// it.
		if err := n.readRefusals(raw, events); err != nil {
			return err
		}
	}
}

// receive decodes a datagram and enqueues its packet, or counts it as dropped.
func (n *Node) receive(d []byte, from netip.AddrPort, events chan<- event) {
	p, err := n.opt.Codec.Decode(d)
	if err != nil {
		var fault *packet.Error
		if errors.As(err, &fault) {
			n.countDropped(string(fault.Reason))
		}
		return
	}
	n.enqueue(event{from: netip.AddrPortFrom(from.Addr().Unmap(), from.Port()).String(), packet: p}, events)
}

// enqueue passes an event to Run's goroutine, or drops and counts it if maxInbox events are waiting.
func (n *Node) enqueue(e event, events chan<- event) {
	select {
	case events <- e:
	default:
		n.countDropped("inbox full")
	}
}

// readRefusals reads the socket's error queue (ip(7), IP_RECVERR) and enqueues an event for each refusal. Only an ICMP
// port-unreachable message from the destination's own address is a refusal. Messages from a router or firewall in between are
// ignored, as they don't prove that the destination's process is dead.
func (n *Node) readRefusals(raw syscall.RawConn, events chan<- event) error {
	data, control := make([]byte, packet.MaxSize), make([]byte, 512)
	return raw.Control(func(fd uintptr) {
		for {
			size, oob, _, to, err := unix.Recvmsg(int(fd), data, control, unix.MSG_ERRQUEUE|unix.MSG_DONTWAIT)
			if err != nil {
				return
			}
			seq, ok := n.opt.Codec.Seq(data[:size])
			if !ok || !refusedByDestination(control[:oob], to) {
				continue
			}
			a := to.(*unix.SockaddrInet4)
			addr := netip.AddrPortFrom(netip.AddrFrom4(a.Addr), uint16(a.Port))
			n.enqueue(event{from: addr.String(), seq: seq}, events)
		}
	})
}

// The layout, in bytes, of struct sock_extended_err and of the sockaddr_in after it, which has the address of the machine
// that sent the ICMP message (ip(7)); and the type and code of an ICMP port-unreachable message.
const (
	errErrno, errOrigin, errType, errCode = 0, 4, 5, 6
	errSize                               = 16
	offenderAddr                          = errSize + 4
	offenderEnd                           = offenderAddr + 4
	icmpUnreachable, icmpPort             = 3, 3
)

// refusedByDestination reports whether the control messages of a queued error say that the machine with the address to itself
// refused the datagram because no socket was bound to the port.
func refusedByDestination(control []byte, to unix.Sockaddr) bool {
	a, ok := to.(*unix.SockaddrInet4)
	messages, err := unix.ParseSocketControlMessage(control)
	if !ok || err != nil {
		return false
	}
	for _, m := range messages {
		d := m.Data
		if m.Header.Level != unix.IPPROTO_IP || m.Header.Type != unix.IP_RECVERR || len(d) < offenderEnd {
			continue
		}
		return binary.NativeEndian.Uint32(d[errErrno:]) == uint32(unix.ECONNREFUSED) && d[errOrigin] == unix.SO_EE_ORIGIN_ICMP &&
			d[errType] == icmpUnreachable && d[errCode] == icmpPort && [4]byte(d[offenderAddr:offenderEnd]) == a.Addr
	}
	return false
}
