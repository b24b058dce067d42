package placement

import "math"

const (
	rowsPerOctave  = 2   // rows of the table for each doubling of the size
	tableRows      = 48  // rows of the table; the first one is for sizes about 1 ms and below
	maxHints       = 128 // largest number of hints for which a queue keeps an average runtime each
	minOutlierRuns = 6.0 // number of runs in a queue from which on the runtimes of further runs are limited
	outlierFactor  = 4.0 // runtimes are limited to this many times the prediction, and to the prediction divided by this

	// Weights of the prior in a blend, in runs (see average.blend): at this number of observed runs, both have equal
	// weight.
	tablePriorRuns     = 6.0 // weight of the fit, against a row of the table
	hintPriorRuns      = 0.7 // weight of the rest of the queue, against runs with exactly the same hint
	deviationPriorRuns = 5.0 // weight of priorDeviation, against observed deviations

	priorDeviation = 0.4 // standard deviation of ln(runtime / prediction) before any run is observed
)

// queueModel models the runtimes of one queue. All times are in ms. A base runtime is a runtime divided by the ratio of the
// runner's kind, which makes runs on different kinds comparable.
type queueModel struct {
	fit       linearFit // of base runtimes to sizes
	deviation average   // of the square of ln(runtime / prediction)
	kinds     map[string]*kindModel
	byHint    map[float64]*average // averages of base runtimes, by exact hint
	hintRing  []float64            // keys of byHint as a ring buffer, in order of their first run
	oldest    int                  // index of the oldest hint in hintRing, once that has maxHints elements
}

// kindModel models the runtimes of one queue on one kind of runner.
type kindModel struct {
	ratio ratioEstimate      // of runtimes on the kind to base runtimes
	table [tableRows]average // averages of runtimes, by size; see rowOf
}

func newQueueModel() *queueModel {
	return &queueModel{kinds: map[string]*kindModel{}, byHint: map[float64]*average{}}
}

// defaultSize returns the size of a task without a hint: the mean size of the observed runs.
func (q *queueModel) defaultSize() float64 {
	if q.fit.runs == 0 {
		return unknownSizeMs
	}
	return q.fit.meanSize
}

// observe adds a run on a kind of runner. kindRatio is the ratio of the kind over all queues, which it updates. The
// runtime of an outlier is limited to outlierFactor times the prediction, so that single runs that stalled change little in
// the model.
func (q *queueModel) observe(kindRatio *ratioEstimate, kind string, size, runtime float64) {
	own := q.kinds[kind]
	if own == nil {
		own = &kindModel{}
		q.kinds[kind] = own
	}
	ratio := own.ratio.value(kindRatio.value(1))
	base := q.base(size)
	if q.fit.runs >= minOutlierRuns {
		runtime = min(max(runtime, base*ratio/outlierFactor), base*ratio*outlierFactor)
	}
	if q.fit.runs >= 1 {
		deviation := math.Log(runtime / q.predict(kind, size, kindRatio.value(1)))
		q.deviation.add(deviation * deviation)
		own.ratio.add(runtime / base)
		kindRatio.add(runtime / base)
	}
	own.table[rowOf(size)].add(runtime)
	q.averageOfHint(size).add(runtime / ratio)
	q.fit.add(size, runtime/ratio)
}

// averageOfHint returns the average for runs with exactly this hint, to be updated. A new hint replaces the oldest one if
// there are maxHints.
func (q *queueModel) averageOfHint(size float64) *average {
	known := q.byHint[size]
	if known != nil {
		return known
	}
	known = &average{}
	if len(q.hintRing) < maxHints {
		q.hintRing = append(q.hintRing, size)
	} else {
		delete(q.byHint, q.hintRing[q.oldest])
		q.hintRing[q.oldest] = size
		q.oldest = (q.oldest + 1) % maxHints
	}
	q.byHint[size] = known
	return known
}

// base predicts the base runtime for a size from the fit and the runs with exactly the same hint, without the tables of
// kinds.
func (q *queueModel) base(size float64) float64 {
	predicted := q.fit.predict(size)
	if same := q.byHint[size]; same != nil {
		predicted = same.blend(predicted, hintPriorRuns)
	}
	return predicted
}

// predict predicts the runtime for a size on a kind of runner. kindRatio is the ratio of the kind over all queues. The
// prediction of the fit is blended first with the row of the table for the size, then with the runs with exactly the same
// hint.
func (q *queueModel) predict(kind string, size, kindRatio float64) float64 {
	predicted := q.fit.predict(size) * kindRatio
	ratio := kindRatio
	if own := q.kinds[kind]; own != nil {
		ratio = own.ratio.value(kindRatio)
		predicted *= ratio / kindRatio
		predicted = own.table[rowOf(size)].blend(predicted, tablePriorRuns)
	}
	if same := q.byHint[size]; same != nil {
		predicted = same.scaled(ratio).blend(predicted, hintPriorRuns)
	}
	return predicted
}

// upperBoundFactor returns a factor on the prediction that the longest of count runs almost never exceeds. It assumes that
// ln(runtime / prediction) is normally distributed with standard deviation s. The largest of count deviations is then about
// s * sqrt(2 ln count).
func (q *queueModel) upperBoundFactor(count int) float64 {
	variance := q.deviation.blend(priorDeviation*priorDeviation, deviationPriorRuns)
	return math.Exp(math.Sqrt(2 * math.Log(float64(max(count, 2))) * variance))
}

// rowOf returns the row of the table for a size. Rows have equal widths on a logarithmic scale.
func rowOf(size float64) int {
	return min(max(int(rowsPerOctave*math.Log2(size)), 0), tableRows-1)
}
