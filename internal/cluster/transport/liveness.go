package transport

// maxUnansweredProbes is the number of probe intervals in a row without a read after which a connection with pending calls
// is closed.
const maxUnansweredProbes = 3

// liveness decides whether the peer of a connection is unresponsive: its process is frozen, or a partition keeps its bytes
// away. Only a connection with pending calls is judged. It counts probe intervals in which nothing was received, not
// time. So if this process was frozen, that counts as one interval, and it does not close connections whose peers are well.
type liveness struct {
	wasPending bool   // calls were pending at the last probe
	reads      uint64 // count of reads from the connection at the last probe
	unanswered int    // probe intervals in a row in which nothing was read
}

// verdict is what a probe found.
type verdict int

const (
	verdictIdle  verdict = iota // no call is pending
	verdictAlive                // something was read since the last probe, or this is the first probe with a pending call
	verdictPing                 // nothing was read since the last probe: a ping has to be sent
	verdictDead                 // nothing was read for maxUnansweredProbes intervals: the connection has to be closed
)

// probe returns the verdict at the end of one probe interval. pending says whether the peer has to be watched, because short
// calls are pending or the connection is suspect. reads is the connection's count of reads so far.
func (l *liveness) probe(pending bool, reads uint64) verdict {
	if !pending {
		*l = liveness{}
		return verdictIdle
	}
	if !l.wasPending || reads != l.reads {
		*l = liveness{wasPending: true, reads: reads}
		return verdictAlive
	}
	l.unanswered++
	if l.unanswered >= maxUnansweredProbes {
		return verdictDead
	}
	return verdictPing
}
