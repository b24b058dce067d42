package transport

// maxUnansweredProbes is the number of probe intervals in a row without a read after which a connection with pending
// short calls is closed.
const maxUnansweredProbes = 3

// liveness decides whether the peer of a connection is unresponsive: its process is frozen, or a partition keeps its
// bytes away. It checks a connection only while short calls are pending or the connection is suspect. It counts probe
// intervals without received bytes instead of measuring time: if this process was frozen, the pause adds only one
// interval, and connections to healthy peers stay open.
type liveness struct {
	wasPending bool   // pending was true at the last probe
	reads      uint64 // count of reads from the connection at the last probe
	unanswered int    // consecutive probe intervals in which no bytes were read
}

// verdict is the result of a probe.
type verdict int

const (
	verdictIdle  verdict = iota // the connection needs no probe, e.g. no short call is pending
	verdictAlive                // bytes were read since the last probe, or this is the first probe after verdictIdle
	verdictPing                 // no bytes were read since the last probe: send a ping
	verdictDead                 // no bytes were read for maxUnansweredProbes intervals: close the connection
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
