// Package fleet starts dispatchers of the built program as processes that form a fleet, with a relay between them that
// injects network faults, and checks their views and which numbers they own.
package fleet

import (
	"errors"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"time"
)

// Fault describes the faults of the link from one dispatcher to another.
type Fault struct {
	Down         bool    // all datagrams are lost
	Loss, Double float64 // fractions of the datagrams that are lost and that are sent twice, 0 to 1
	// Late is the fraction of the datagrams that are delayed by a random time up to By, so that others overtake them.
	Late float64
	By   time.Duration
}

// Relay forwards UDP datagrams between dispatchers and injects faults. It has one address for each dispatcher, to which the
// others send. It forwards a datagram from its own address of the sender, so that the receiver's reply comes to the relay
// too. A Relay is safe for concurrent use. Call Close when it is no longer needed.
type Relay struct {
	forwarders sync.WaitGroup
	mu         sync.Mutex
	fault      func(from, to int) Fault
	senders    map[netip.AddrPort]int // the dispatchers' numbers by the addresses of their sockets
	conns      []*net.UDPConn         // the relay's socket for each dispatcher
	targets    []netip.AddrPort       // the address of each dispatcher's socket
	Addrs      []string               // the addresses of conns, as host:port
}

// NewRelay returns a running relay without faults for dispatchers with these socket addresses, each host:port.
func NewRelay(sockets []string) (*Relay, error) {
	r := &Relay{senders: map[netip.AddrPort]int{}}
	for i, a := range sockets {
		addr, err := netip.ParseAddrPort(a)
		if err != nil {
			return nil, err
		}
		c, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
		if err != nil {
			return nil, err
		}
		r.senders[addr] = i
		r.targets, r.conns, r.Addrs = append(r.targets, addr), append(r.conns, c), append(r.Addrs, c.LocalAddr().String())
	}
	for i := range r.conns {
		r.forwarders.Go(func() { r.forward(i) })
	}
	return r, nil
}

// SetFaults replaces the faults of all links; nil removes them. Datagrams that are already delayed still arrive.
func (r *Relay) SetFaults(fault func(from, to int) Fault) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.fault = fault
}

// Close closes the relay's sockets and waits for its forwarding goroutines. Datagrams that are still delayed are lost.
func (r *Relay) Close() {
	for _, c := range r.conns {
		_ = c.Close()
	}
	r.forwarders.Wait()
}

// forward forwards the datagrams for dispatcher number to until the relay's socket for it is closed.
func (r *Relay) forward(to int) {
	buf := make([]byte, 2048)
	for {
		n, from, err := r.conns[to].ReadFromUDPAddrPort(buf)
		if err != nil {
			if errors.Is(err, net.ErrClosed) {
				return
			}
			continue // an ICMP error: the receiver of a forwarded datagram does not listen
		}
		sender, known := r.senders[netip.AddrPortFrom(from.Addr().Unmap(), from.Port())]
		if !known {
			continue
		}
		r.mu.Lock()
		f := Fault{}
		if r.fault != nil {
			f = r.fault(sender, to)
		}
		r.mu.Unlock()
		d := append([]byte(nil), buf[:n]...)
		// Write errors, such as that an earlier datagram was refused, are not reported to the sender.
		forward := func() { _, _ = r.conns[sender].WriteToUDPAddrPort(d, r.targets[to]) }
		copies := 1
		if rand.Float64() < f.Double {
			copies = 2
		}
		for range copies {
			switch {
			case f.Down || rand.Float64() < f.Loss:
			case rand.Float64() < f.Late:
				time.AfterFunc(time.Duration(rand.Int64N(int64(f.By))), forward)
			default:
				forward()
			}
		}
	}
}
