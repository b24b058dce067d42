package placement

import "math"

// queueModel is what is known of the runtimes of one queue. All are in ms; base runtimes are those on the usual kind.
type queueModel struct {
	fit      fit
	kinds    map[string]*kindModel
	siblings map[float64]*average // base runtimes by exact hint
	order    []float64            // hints in siblings, the oldest at next
	next     int
}

// kindModel is what is known of a queue on one kind of runner.
type kindModel struct {
	factor factor
	rows   [rows]average // runtimes by size
}

func newQueueModel() *queueModel {
	return &queueModel{kinds: map[string]*kindModel{}, siblings: map[float64]*average{}}
}

func (q *queueModel) usualSize() float64 {
	if q.fit.runs == 0 {
		return unknownSizeMs
	}
	return q.fit.meanSize
}

func (q *queueModel) observe(all *factor, kind string, size, took float64) {
	own := q.kinds[kind]
	if own == nil {
		own = &kindModel{}
		q.kinds[kind] = own
	}
	ratio := own.factor.value(all.value(1))
	base := q.base(size)
	if q.fit.runs >= outlierRuns {
		took = min(max(took, base*ratio/outlier), base*ratio*outlier)
	}
	if q.fit.runs >= 1 {
		own.factor.add(took / base)
		all.add(took / base)
	}
	own.rows[rowOf(size)].add(took, rowRuns)
	q.sibling(size).add(took/ratio, rowRuns)
	q.fit.add(size, took/ratio)
}

// sibling returns the average of the runs with exactly this hint; the oldest hint makes room for a new one.
func (q *queueModel) sibling(size float64) *average {
	known := q.siblings[size]
	if known != nil {
		return known
	}
	known = &average{}
	if len(q.order) < siblingsKept {
		q.order = append(q.order, size)
	} else {
		delete(q.siblings, q.order[q.next])
		q.order[q.next] = size
		q.next = (q.next + 1) % siblingsKept
	}
	q.siblings[size] = known
	return known
}

// base predicts the runtime on the usual kind without the table.
func (q *queueModel) base(size float64) float64 {
	predicted := q.fit.predict(size)
	if same := q.siblings[size]; same != nil {
		predicted = same.blend(predicted, siblingRuns)
	}
	return predicted
}

func (q *queueModel) predict(kind string, size, kindValue float64) float64 {
	predicted := q.fit.predict(size) * kindValue
	ratio := kindValue
	if own := q.kinds[kind]; own != nil {
		ratio = own.factor.value(kindValue)
		predicted *= ratio / kindValue
		predicted = own.rows[rowOf(size)].blend(predicted, tableRuns)
	}
	if same := q.siblings[size]; same != nil {
		predicted = same.scaled(ratio).blend(predicted, siblingRuns)
	}
	return predicted
}

func rowOf(size float64) int {
	return min(max(int(rowsPerOctave*math.Log2(size)), 0), rows-1)
}

// average is a mean of runs in which older ones fade.
type average struct {
	runs float64
	mean float64
}

func (a *average) add(value, kept float64) {
	a.runs = min(a.runs+1, kept)
	a.mean += (value - a.mean) / a.runs
}

// blend returns the mean, drawn to other as if that had been seen otherRuns times.
func (a average) blend(other, otherRuns float64) float64 {
	return (a.runs*a.mean + otherRuns*other) / (a.runs + otherRuns)
}

func (a average) scaled(by float64) average { return average{a.runs, a.mean * by} }

// factor is a ratio of runtimes, learnt by its logarithm.
type factor struct {
	logs   average
	cached float64 // exp of the mean, where there is one
}

func (f *factor) add(ratio float64) {
	f.logs.add(math.Log(ratio), rowRuns)
	f.cached = math.Exp(f.logs.mean)
}

// value returns the ratio, drawn to what is known otherwise while there are few runs.
func (f *factor) value(otherwise float64) float64 {
	if f.logs.runs == 0 {
		return otherwise
	}
	return average{f.logs.runs, f.cached}.blend(otherwise, kindRuns)
}

// fit is a linear fit of runtime on size by least squares, with means and sums of squares about them. Its slope is the
// correlation times the ratio of the spreads, so noise in the hints shrinks it by itself.
type fit struct {
	runs               float64
	meanSize, meanTook float64
	sizes, both        float64 // sums of squares of sizes, and of products, about the means
}

func (f *fit) add(size, took float64) {
	if f.runs >= runsKept {
		fade := (runsKept - 1) / runsKept
		f.runs *= fade
		f.sizes *= fade
		f.both *= fade
	}
	f.runs++
	offSize, offTook := size-f.meanSize, took-f.meanTook
	f.meanSize += offSize / f.runs
	f.meanTook += offTook / f.runs
	f.sizes += offSize * (size - f.meanSize)
	f.both += offSize * (took - f.meanTook)
}

func (f *fit) slope() float64 {
	prior := slopeRuns * f.meanSize * f.meanSize / 4
	if f.sizes+prior <= 0 {
		return priorSlope
	}
	return min(max((f.both+priorSlope*prior)/(f.sizes+prior), 0), slopeMost)
}

func (f *fit) predict(size float64) float64 {
	if f.runs == 0 {
		return size
	}
	fitted := f.meanTook + f.slope()*(size-f.meanSize)
	fitted = min(max(fitted, f.meanTook/outlier), f.meanTook*outlier)
	return (f.runs*fitted + hintRuns*size) / (f.runs + hintRuns)
}
