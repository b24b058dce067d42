// Package fleet starts dispatchers of the built program as processes that form a fleet, with a relay between them that injects network
// faults, and checks their views and which numbers they own.
package fleet

import (
	"errors"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"time"
)

// Fault is what happens to the datagrams from one dispatcher to another.
type Fault struct {
	Down         bool
	Loss, Double float64 // fractions of the datagrams
	// Late is the fraction that is delayed, by up to By, and so reordered.
	Late float64
	By   time.Duration
}

// Relay forwards datagrams between dispatchers, and injects faults. It has an address for each dispatcher, to which the others send;
// what comes there is forwarded from the sender's address at the relay. It is safe for concurrent use. Callers call Close.
type Relay struct {
	forwarders sync.WaitGroup
	mu         sync.Mutex
	fault      func(from, to int) Fault
	senders    map[netip.AddrPort]int // the numbers of the dispatchers, by their sockets' addresses
	conns      []*net.UDPConn         // the relay's socket for each dispatcher
	targets    []netip.AddrPort
	Addrs      []string // of conns, host:port
}

// NewRelay returns a running relay for dispatchers whose sockets have these addresses, host:port.
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

// SetFaults sets the faults of all links from now on; nil: none.
func (r *Relay) SetFaults(fault func(from, to int) Fault) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.fault = fault
}

// Close ends the relay and waits for its goroutines. Delayed datagrams that are due later are lost.
func (r *Relay) Close() {
	for _, c := range r.conns {
		_ = c.Close()
	}
	r.forwarders.Wait()
}

// forward forwards the datagrams to dispatcher to until its socket is closed.
func (r *Relay) forward(to int) {
	buf := make([]byte, 2048)
	for {
		n, from, err := r.conns[to].ReadFromUDPAddrPort(buf)
		if err != nil {
			if errors.Is(err, net.ErrClosed) {
				return
			}
			continue // the refusal of a datagram that was forwarded
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
		forward := func() { _, _ = r.conns[sender].WriteToUDPAddrPort(d, r.targets[to]) } // refusals are not forwarded
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
