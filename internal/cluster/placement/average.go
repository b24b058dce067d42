package placement

import "math"

const (
	maxAverageRuns = 60.0 // approximate number of values that an average remembers; older ones lose weight exponentially
	ratioPriorRuns = 4.0  // weight of the fallback of a ratioEstimate, in runs
)

// average is a moving average of one value for each run. Older values lose weight.
type average struct {
	runs float64 // number of runs, at most maxAverageRuns: the weight of the mean in blend
	mean float64
}

// add adds the value of a run.
func (a *average) add(value float64) {
	a.runs = min(a.runs+1, maxAverageRuns)
	a.mean += (value - a.mean) / a.runs
}

// blend returns the mean shrunk towards other, as if other were the value of otherRuns further runs.
func (a average) blend(other, otherRuns float64) float64 {
	return (a.runs*a.mean + otherRuns*other) / (a.runs + otherRuns)
}

// scaled returns the average with all values multiplied by a factor.
func (a average) scaled(factor float64) average { return average{a.runs, a.mean * factor} }

// ratioEstimate is a moving average of ratios of runtimes. It averages their logarithms, so that the ratios 2 and 1/2
// cancel out.
type ratioEstimate struct {
	logs   average
	cached float64 // exp(logs.mean), valid once there is a run
}

// add adds the ratio of a run.
func (e *ratioEstimate) add(ratio float64) {
	e.logs.add(math.Log(ratio))
	e.cached = math.Exp(e.logs.mean)
}

// value returns the estimated ratio, shrunk towards fallback while there are few runs, or fallback without runs.
func (e *ratioEstimate) value(fallback float64) float64 {
	if e.logs.runs == 0 {
		return fallback
	}
	return average{e.logs.runs, e.cached}.blend(fallback, ratioPriorRuns)
}
