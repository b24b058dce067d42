package placement

const (
	maxFitRuns     = 200.0 // approximate number of runs that a fit remembers; older ones lose weight exponentially
	fitPriorRuns   = 1.0   // weight of the size itself as a prediction, in runs
	priorSlope     = 0.5   // slope before any run is observed: the part of a difference in sizes that shows in runtimes
	slopePriorRuns = 3.0   // weight of priorSlope, in runs with sizes that deviate from the mean by half of the mean
	maxSlope       = 2.0   // hints often overstate differences in runtime, but rarely understate them by more than this
)

// linearFit is a linear fit of runtime to size by least squares that is updated with each run by Welford's method. The
// slope is the correlation of size and runtime times the ratio of their standard deviations, so noise in the sizes makes
// it flatter.
type linearFit struct {
	runs                  float64 // number of runs, after the loss of weight of older ones
	meanSize, meanRuntime float64
	sizeSquares           float64 // sum of the squared deviations of size from its mean
	products              float64 // sum of the products of the deviations of size and runtime from their means
}

// add adds a run to the fit.
func (f *linearFit) add(size, runtime float64) {
	if f.runs >= maxFitRuns {
		fade := (maxFitRuns - 1) / maxFitRuns
		f.runs *= fade
		f.sizeSquares *= fade
		f.products *= fade
	}
	f.runs++
	sizeDeviation, runtimeDeviation := size-f.meanSize, runtime-f.meanRuntime
	f.meanSize += sizeDeviation / f.runs
	f.meanRuntime += runtimeDeviation / f.runs
	f.sizeSquares += sizeDeviation * (size - f.meanSize)
	f.products += sizeDeviation * (runtime - f.meanRuntime)
}

// slope returns the slope of the fit from 0 to maxSlope, shrunk towards priorSlope while there are few runs.
func (f *linearFit) slope() float64 {
	prior := slopePriorRuns * f.meanSize * f.meanSize / 4
	if f.sizeSquares+prior <= 0 {
		return priorSlope
	}
	return min(max((f.products+priorSlope*prior)/(f.sizeSquares+prior), 0), maxSlope)
}

// predict returns the predicted runtime for a size. Before the first run it is the size itself. Later it is the fit,
// limited to outlierFactor times the mean runtime and to the mean divided by that, and shrunk towards the size by
// fitPriorRuns.
func (f *linearFit) predict(size float64) float64 {
	if f.runs == 0 {
		return size
	}
	fitted := f.meanRuntime + f.slope()*(size-f.meanSize)
	fitted = min(max(fitted, f.meanRuntime/outlierFactor), f.meanRuntime*outlierFactor)
	return (f.runs*fitted + fitPriorRuns*size) / (f.runs + fitPriorRuns)
}
