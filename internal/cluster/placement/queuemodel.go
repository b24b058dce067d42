package placement

import "math"

const (
	rowsPerOctave   = 2   // rows of the table for each doubling of the size
	tableRows       = 48  // rows of the table, from 1 ms on
	tableRuns       = 6.0 // runs at which a row of the table counts as much as the fit
	siblingRuns     = 0.7 // runs with exactly this hint at which they count as much as the rest of the queue
	maxSiblingHints = 128 // hints whose runs are averaged, in each queue
	minOutlierRuns  = 6.0 // runs of the queue from which on outliers are recognised
	outlierFactor   = 4.0 // a run counts as at most so many times what was predicted, and at least that part of it
	deviationRuns   = 5.0 // runs that unknownDeviation counts as

	unknownDeviation = 0.4 // standard deviation of the logarithm of runtimes over predictions before anything is known
)

// queueModel is what is known of the runtimes of one queue. All are in ms; base runtimes are those on the usual kind of
// runner.
type queueModel struct {
	fit          linearFit
	deviation    average // squared logarithm of runtimes over what was predicted
	kinds        map[string]*kindModel
	siblings     map[float64]*average // base runtimes by exact hint
	siblingHints []float64            // the keys of siblings: a ring, whose oldest element is at oldest once it is full
	oldest       int
}

// kindModel is what is known of a queue on one kind of runner.
type kindModel struct {
	ratio ratioEstimate      // of runtimes over base runtimes
	table [tableRows]average // runtimes by size
}

func newQueueModel() *queueModel {
	return &queueModel{kinds: map[string]*kindModel{}, siblings: map[float64]*average{}}
}

// usualSize returns the size of tasks without a hint.
func (q *queueModel) usualSize() float64 {
	if q.fit.runs == 0 {
		return unknownSizeMs
	}
	return q.fit.meanSize
}

// observe learns from a run on a kind of runner, whose ratio over all queues is kindRatio.
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
	q.sibling(size).add(runtime / ratio)
	q.fit.add(size, runtime/ratio)
}

// sibling returns the average of the runs with exactly this hint. A new hint replaces the oldest one if there are too many.
func (q *queueModel) sibling(size float64) *average {
	known := q.siblings[size]
	if known != nil {
		return known
	}
	known = &average{}
	if len(q.siblingHints) < maxSiblingHints {
		q.siblingHints = append(q.siblingHints, size)
	} else {
		delete(q.siblings, q.siblingHints[q.oldest])
		q.siblingHints[q.oldest] = size
		q.oldest = (q.oldest + 1) % maxSiblingHints
	}
	q.siblings[size] = known
	return known
}

// base predicts the base runtime without the table.
func (q *queueModel) base(size float64) float64 {
	predicted := q.fit.predict(size)
	if same := q.siblings[size]; same != nil {
		predicted = same.blend(predicted, siblingRuns)
	}
	return predicted
}

// predict predicts the runtime on a kind of runner, whose ratio over all queues is kindRatio.
func (q *queueModel) predict(kind string, size, kindRatio float64) float64 {
	predicted := q.fit.predict(size) * kindRatio
	ratio := kindRatio
	if own := q.kinds[kind]; own != nil {
		ratio = own.ratio.value(kindRatio)
		predicted *= ratio / kindRatio
		predicted = own.table[rowOf(size)].blend(predicted, tableRuns)
	}
	if same := q.siblings[size]; same != nil {
		predicted = same.scaled(ratio).blend(predicted, siblingRuns)
	}
	return predicted
}

// upperBoundFactor returns how many times longer than predicted the longest of count runs takes, nearly always: the largest of
// count deviations that are normally distributed.
func (q *queueModel) upperBoundFactor(count int) float64 {
	variance := q.deviation.blend(unknownDeviation*unknownDeviation, deviationRuns)
	return math.Exp(math.Sqrt(2 * math.Log(float64(max(count, 2))) * variance))
}

// rowOf returns the row of the table for a size: rows are of equal width on a logarithmic scale.
func rowOf(size float64) int {
	return min(max(int(rowsPerOctave*math.Log2(size)), 0), tableRows-1)
}
