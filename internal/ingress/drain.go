package ingress

import "time"

const (
	// sweepEvery and sweeps: while drained, connections that carry nothing are closed again and again, as the
	// front still sends new ones for a while and clients may open one and say nothing on it.
	sweepEvery = 250 * time.Millisecond
	sweeps     = 14
	// quietFor is how long a connection that never brought a request is left before a drain closes it: a
	// client that has just connected is sending its request now.
	quietFor = 300 * time.Millisecond
)

// Drain has the clients' address say that it is not ready, every answer close its connection, and connections
// that carry nothing be closed, so that clients go elsewhere. Requests in hand are answered as ever. It returns
// at once.
func (s *Server) Drain() {
	if s.drained.Swap(true) {
		return
	}
	s.http.SetKeepAlivesEnabled(false) // closes the idle connections, too
	go s.sweep()
}

// Undrain has the clients' address take clients again.
func (s *Server) Undrain() {
	if s.drained.Swap(false) {
		s.http.SetKeepAlivesEnabled(true)
	}
}

// sweep closes what carries nothing while the drain lasts, for as long as the front may still send or clients
// still hold connections.
func (s *Server) sweep() {
	for range sweeps {
		time.Sleep(sweepEvery)
		if !s.drained.Load() {
			return
		}
		s.http.SetKeepAlivesEnabled(false)
		if c := s.crowd.Load(); c != nil {
			c.closeQuiet(time.Now(), quietFor)
		}
	}
}
