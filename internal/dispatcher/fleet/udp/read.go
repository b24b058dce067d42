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

// readLoop brings what comes through the socket, until it is closed.
func (n *Node) readLoop(conn *net.UDPConn, events chan<- event) error {
	raw, err := conn.SyscallConn()
	if err != nil {
		return err
	}
	buf := make([]byte, packet.MaxSize+1) // one byte more shows what is too long
	for {
		size, from, err := conn.ReadFromUDPAddrPort(buf)
		switch {
		case err == nil:
			n.receive(buf[:size], from, events)
		case errors.Is(err, net.ErrClosed):
			return err
		}
		// Refusals wake the reader with an error, which may be of any datagram: the queue tells of which.
		if err := n.readRefusals(raw, events); err != nil {
			return err
		}
	}
}

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

func (n *Node) enqueue(e event, events chan<- event) {
	select {
	case events <- e:
	default:
		n.countDropped("inbox full")
	}
}

// readRefusals reads the socket's queue of errors (ip(7), IP_RECVERR). Only a port that is not open, said by the very machine
// that the datagram was for, is a refusal: what a router or a box between says is not.
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

// The layout of struct sock_extended_err, with the offender's sockaddr_in after it (ip(7)).
const (
	errErrno, errOrigin, errType, errCode = 0, 4, 5, 6
	errSize                               = 16
	offenderAddr                          = errSize + 4
	offenderEnd                           = offenderAddr + 4
	icmpUnreachable, icmpPort             = 3, 3
)

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
