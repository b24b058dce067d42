package transport

// mostSilentProbes is for how many probe intervals in a row a connection with calls out may be silent.
const mostSilentProbes = 3

// liveness notices a connection whose peer has fallen silent while calls are out. It counts intervals of this process,
// not time, so that a process that was frozen does not blame its peers.
type liveness struct {
	watched bool   // calls were out at the last probe too
	heard   uint64 // count of reads at the last probe
	silent  int    // intervals in a row without a read
}

// verdict is what to do with a connection after a probe.
type verdict int

const (
	verdictCalm verdict = iota // nothing is out
	verdictGood
	verdictPing
	verdictCut
)

// probe is called once an interval with whether calls are out and how many reads there were, ever.
func (l *liveness) probe(waiting bool, heard uint64) verdict {
	if !waiting {
		*l = liveness{}
		return verdictCalm
	}
	if !l.watched || heard != l.heard {
		*l = liveness{watched: true, heard: heard}
		return verdictGood
	}
	l.silent++
	if l.silent >= mostSilentProbes {
		return verdictCut
	}
	return verdictPing
}
