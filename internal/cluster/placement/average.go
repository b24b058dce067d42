package placement

import "math"

const (
	maxAverageRuns = 60.0 // runs that an average remembers, about
	kindRuns       = 4.0  // runs at which a kind's own ratio counts as much as what is known otherwise
)

// average is a mean of runs in which older ones fade.
type average struct {
	runs float64 // how many runs it counts as
	mean float64
}

// add adds a run, and lets older ones fade so that all count as at most maxAverageRuns.
func (a *average) add(value float64) {
	a.runs = min(a.runs+1, maxAverageRuns)
	a.mean += (value - a.mean) / a.runs
}

// blend returns the mean, drawn towards other as if that had been seen otherRuns times.
func (a average) blend(other, otherRuns float64) float64 {
	return (a.runs*a.mean + otherRuns*other) / (a.runs + otherRuns)
}

// scaled returns the average of all runs times a factor.
func (a average) scaled(factor float64) average { return average{a.runs, a.mean * factor} }

// ratioEstimate is an average ratio of runtimes. It averages logarithms, so that twice and half as long cancel out.
type ratioEstimate struct {
	logs   average
	cached float64 // exp(logs.mean), once there is a run
}

func (e *ratioEstimate) add(ratio float64) {
	e.logs.add(math.Log(ratio))
	e.cached = math.Exp(e.logs.mean)
}

// value returns the ratio, drawn towards fallback while there are few runs.
func (e *ratioEstimate) value(fallback float64) float64 {
	if e.logs.runs == 0 {
		return fallback
	}
	return average{e.logs.runs, e.cached}.blend(fallback, kindRuns)
}
