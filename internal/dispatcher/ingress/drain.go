package ingress

import (
	"context"
	"fmt"
	"time"
)

const (
	// sweepEvery and sweeps: while drained, connections that carry nothing are closed again and again, as the
	// front still sends new ones for a while and clients may open one and say nothing on it.
	sweepEvery = 250 * time.Millisecond
	sweeps     = 14
	// stopSweep is the same at a stop, which is waited for.
	stopSweep = 10 * time.Millisecond
	// quietFor is how long a connection that never brought a request is left before a drain closes it: a
	// client that has just connected is sending its request now.
	quietFor = 300 * time.Millisecond
)

// net/http's own Shutdown and SetKeepAlivesEnabled are not used: both close connections that they hold to be idle
// while a request is being read from them, and Shutdown drops one that was just read without an answer.

// Shutdown goes on accepting for a while, as clients still come, then takes nothing new and returns when all
// that was taken is answered and each connection has been closed in order, or when ctx ends. The phase must be
// Draining, so that answers close connections.
func (s *Server) Shutdown(ctx context.Context) error {
	select {
	case <-time.After(acceptFor):
	case <-ctx.Done():
	}
	c := s.listener.Load()
	if c == nil {
		return nil
	}
	s.stopping.Store(true)
	_ = c.Listener.Close()
	sweep := time.NewTicker(stopSweep)
	defer sweep.Stop()
	for !c.gone() {
		c.drain(true, time.Now())
		select {
		case <-sweep.C:
		case <-ctx.Done():
			n := s.inHand.Load()
			c.abort()
			if n > 0 {
				return fmt.Errorf("%d requests without an answer: %w", n, ctx.Err())
			}
			return nil // connections that never carried a request, or whose clients do not go
		}
	}
	return nil
}

// Drain has the clients' address say that it is not ready, every answer close its connection, and connections
// that carry nothing be closed, so that clients go elsewhere. Requests in hand are answered as ever. It returns
// at once.
func (s *Server) Drain() {
	if s.drained.Swap(true) {
		return
	}
	if c := s.listener.Load(); c != nil {
		c.drain(true, time.Now())
		go s.sweep(c)
	}
}

// Undrain has the clients' address take clients again.
func (s *Server) Undrain() {
	if c := s.listener.Load(); s.drained.Swap(false) && c != nil {
		c.drain(false, time.Now())
	}
}

// sweep closes what carries nothing while the drain lasts, for as long as the front may still send or clients
// still hold connections.
func (s *Server) sweep(c *limitedListener) {
	for range sweeps {
		time.Sleep(sweepEvery)
		if !s.drained.Load() {
			return
		}
		c.drain(true, time.Now())
	}
}
