package ingress

import (
	"context"
	"fmt"
	"time"
)

const (
	// After Drain, connections without a request are closed again every sweepInterval, maxSweeps times. Once isn't
	// enough: the load balancer still sends new connections for a while, and clients may open one without sending a byte.
	sweepInterval = 250 * time.Millisecond
	maxSweeps     = 14
	// stopSweepInterval is the interval at which Shutdown closes connections without a request. It is short, as
	// Shutdown returns only when none is left.
	stopSweepInterval = 10 * time.Millisecond
	// quietTimeout is how long a connection on which no byte was read stays open in a drain. A client that has just
	// connected may be about to send its request.
	quietTimeout = 300 * time.Millisecond
)

// Shutdown ends the server. It accepts connections for acceptAfterStop more, as clients still arrive, and then closes the
// listener. It returns nil when every request has its response and each connection is closed. If ctx ends first, it
// closes all sockets, and returns an error if requests had no response. The phase must be lifecycle.Draining, so that
// each response closes its connection.
//
// net/http's Shutdown and SetKeepAlivesEnabled are not used for two reasons. Both close connections that they consider
// idle although a request is being read from them. And Shutdown can drop a request that was just read, without a response.
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
				return fmt.Errorf("%d requests had no response when the time to stop ended: %w", n, ctx.Err())
			}
			return nil // the connections left had no request, or their clients did not close them
		}
	}
	return nil
}

// Drain makes clients go to other dispatchers: from now on Ready reports false, each response closes its connection, and
// connections without a request are closed. Requests are still served. Drain does not block. Undrain reverses it.
func (s *Server) Drain() {
	if s.drained.Swap(true) {
		return
	}
	if c := s.listener.Load(); c != nil {
		c.setDraining(true, time.Now())
		go s.sweep(c)
	}
}

// Undrain reverses Drain. Connections that were closed stay closed.
func (s *Server) Undrain() {
	if c := s.listener.Load(); s.drained.Swap(false) && c != nil {
		c.setDraining(false, time.Now())
	}
}

// sweep closes connections without a request every sweepInterval until Undrain, at most maxSweeps times.
func (s *Server) sweep(c *limitedListener) {
	for range maxSweeps {
		time.Sleep(sweepInterval)
		if !s.drained.Load() {
			return
		}
		c.setDraining(true, time.Now())
	}
}
