package ingress

import (
	"context"
	"fmt"
	"time"
)

const (
	// sweepInterval and maxSweeps: while drained, connections without a request are closed repeatedly, as the front
	// still sends new ones for a while and clients may open one and send nothing.
	sweepInterval = 250 * time.Millisecond
	maxSweeps     = 14
	// stopSweepInterval is the interval of sweeps in Shutdown, which waits for them.
	stopSweepInterval = 10 * time.Millisecond
	// quietTimeout is how long a connection that never sent a byte stays open in a drain: a client that has just
	// connected is sending its request.
	quietTimeout = 300 * time.Millisecond
)

// Shutdown goes on accepting for acceptAfterStop, as clients still arrive, then closes the listener. It returns nil
// when every request has its response and each connection has been closed, or, if ctx ends first, an error if
// requests are left. The phase must be lifecycle.Draining, so that responses close connections.
//
// net/http's own Shutdown and SetKeepAlivesEnabled are not used: both close connections that they consider idle while
// a request is being read from them, and Shutdown drops one that was just read without a response.
func (s *Server) Shutdown(ctx context.Context) error {
	select {
	case <-time.After(acceptAfterStop):
	case <-ctx.Done():
	}
	c := s.listener.Load()
	if c == nil {
		return nil
	}
	s.stopping.Store(true)
	_ = c.Close()
	sweep := time.NewTicker(stopSweepInterval)
	defer sweep.Stop()
	for !c.empty() {
		c.setDraining(true, time.Now())
		select {
		case <-sweep.C:
		case <-ctx.Done():
			n := s.unanswered.Load()
			c.abort()
			if n > 0 {
				return fmt.Errorf("%d requests without a response: %w", n, ctx.Err())
			}
			return nil // connections without a request, or whose clients do not close
		}
	}
	return nil
}

// Drain has Ready report false, every response close its connection, and connections without a request closed, so
// that clients go elsewhere. Requests are served as before. It does not block; Undrain reverses it.
func (s *Server) Drain() {
	if s.drained.Swap(true) {
		return
	}
	if c := s.listener.Load(); c != nil {
		c.setDraining(true, time.Now())
		go s.sweep(c)
	}
}

// Undrain reverses Drain.
func (s *Server) Undrain() {
	if c := s.listener.Load(); s.drained.Swap(false) && c != nil {
		c.setDraining(false, time.Now())
	}
}

// sweep closes connections without a request while the drain lasts, at most maxSweeps times.
func (s *Server) sweep(c *limitedListener) {
	for range maxSweeps {
		time.Sleep(sweepInterval)
		if !s.drained.Load() {
			return
		}
		c.setDraining(true, time.Now())
	}
}
