// Package fleet starts several dispatchers of the built program as processes that form a fleet, with relays between them
// that break links, and looks at what they hold of each other and which numbers they act for.
package fleet

import (
	"errors"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"time"
)

// Fault is what happens to datagrams on the way from one dispatcher to another.
type Fault struct {
	Cut          bool
	Loss, Double float64
	// Late is the share that is delayed, by up to By, and so comes in another order.
	Late float64
	By   time.Duration
}

// Relay stands between dispatchers: it has an address for each, where the others send to, and passes on what comes there as
// if from the sender's own address at the relay.
type Relay struct {
	mu    sync.Mutex
	fault func(from, to int) Fault
	real  map[netip.AddrPort]int // the dispatchers' own sockets
	conns []*net.UDPConn         // the relay's address for each
	addrs []netip.AddrPort
	Front []string // the same as text
}

// NewRelay returns a running relay for the dispatchers at these addresses.
func NewRelay(real []string) (*Relay, error) {
	r := &Relay{real: map[netip.AddrPort]int{}}
	for i, a := range real {
		addr, err := netip.ParseAddrPort(a)
		if err != nil {
			return nil, err
		}
		c, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
		if err != nil {
			return nil, err
		}
		r.real[addr] = i
		r.addrs, r.conns, r.Front = append(r.addrs, addr), append(r.conns, c), append(r.Front, c.LocalAddr().String())
	}
	for i := range r.conns {
		go r.pass(i)
	}
	return r, nil
}

// Break has every link be as fault says from now on; nil mends all.
func (r *Relay) Break(fault func(from, to int) Fault) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.fault = fault
}

// Close ends the relay.
func (r *Relay) Close() {
	for _, c := range r.conns {
		_ = c.Close()
	}
}

// pass takes what is sent to dispatcher to.
func (r *Relay) pass(to int) {
	buf := make([]byte, 2048)
	for {
		n, from, err := r.conns[to].ReadFromUDPAddrPort(buf)
		if err != nil {
			if errors.Is(err, net.ErrClosed) {
				return
			}
			continue // a refusal of something passed on
		}
		sender, known := r.real[netip.AddrPortFrom(from.Addr().Unmap(), from.Port())]
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
		forward := func() { _, _ = r.conns[sender].WriteToUDPAddrPort(d, r.addrs[to]) } // a dead one's refusal stays here
		copies := 1
		if rand.Float64() < f.Double {
			copies = 2
		}
		for range copies {
			switch {
			case f.Cut || rand.Float64() < f.Loss:
			case rand.Float64() < f.Late:
				time.AfterFunc(time.Duration(rand.Int64N(int64(f.By))), forward)
			default:
				forward()
			}
		}
	}
}
