package transport

// maxUnansweredProbes is for how many probe intervals in a row a connection with pending calls may be without a read.
const maxUnansweredProbes = 3

// liveness notices a connection whose peer is unresponsive while calls are pending. It counts intervals of this
// process, not time, so that a process that was frozen does not blame its peers.
type liveness struct {
	watched    bool   // calls were pending at the last probe too
	reads      uint64 // count of reads at the last probe
	unanswered int    // intervals in a row without a read
}

// verdict is the result of a probe.
type verdict int

const (
	verdictIdle verdict = iota // no call is pending
	verdictAlive
	verdictPing
	verdictDead
)

// probe is called once an interval, with whether calls are pending and the count of reads.
func (l *liveness) probe(pending bool, reads uint64) verdict {
	if !pending {
		*l = liveness{}
		return verdictIdle
	}
	if !l.watched || reads != l.reads {
		*l = liveness{watched: true, reads: reads}
		return verdictAlive
	}
	l.unanswered++
	if l.unanswered >= maxUnansweredProbes {
		return verdictDead
	}
	return verdictPing
}
