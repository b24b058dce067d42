package placement

const (
	maxFitRuns = 200.0 // runs that a fit remembers, about: older ones fade
	hintRuns   = 1.0   // runs that the hint itself counts as
	priorSlope = 0.5   // the slope before anything is known: how much of a difference in hints shows in runtimes
	priorRuns  = 3.0   // runs that priorSlope counts as
	maxSlope   = 2.0   // hints overstate differences; they hardly understate them
)

// linearFit is a linear fit of runtime on size by least squares, updated run by run (Welford's method): means, and sums
// of squares about them. The slope is the correlation times the ratio of the spreads, so noise in the hints makes it
// flatter by itself.
type linearFit struct {
	runs                  float64
	meanSize, meanRuntime float64
	sizeSquares           float64 // sum of squared deviations of the size
	products              float64 // sum of products of the deviations of size and runtime
}

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

// slope returns the fitted slope, drawn towards priorSlope while there are few runs.
func (f *linearFit) slope() float64 {
	prior := priorRuns * f.meanSize * f.meanSize / 4
	if f.sizeSquares+prior <= 0 {
		return priorSlope
	}
	return min(max((f.products+priorSlope*prior)/(f.sizeSquares+prior), 0), maxSlope)
}

// predict returns the runtime for a size: the size itself before the first run, later the fit within outlierFactor of the
// mean, drawn towards the size.
func (f *linearFit) predict(size float64) float64 {
	if f.runs == 0 {
		return size
	}
	fitted := f.meanRuntime + f.slope()*(size-f.meanSize)
	fitted = min(max(fitted, f.meanRuntime/outlierFactor), f.meanRuntime*outlierFactor)
	return (f.runs*fitted + hintRuns*size) / (f.runs + hintRuns)
}
