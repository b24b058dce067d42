package placement

import (
	"math"
	"time"
)

const (
	unknownSizeMs    = 1000.0 // the size of a task without a hint in a queue without runs
	minRuntimeMs     = 1.0    // no run is taken to be shorter
	defaultFarFactor = 1.5    // the far factor until it is set
)

// Predictor predicts runtimes from the runs that have ended, as the Kairos paper does at the end of section 5.1: each queue
// starts with a linear fit of runtime on the size hint, and a table by kind of runner and size takes over as it fills. Two
// things are ours, because hints may be far off: runs with exactly the same hint, which are mostly of one step, count most;
// and the fit's slope is no steeper than the hints have proved right, so where they are noise the queue's mean remains.
//
// It never forgets queues and kinds, of which there are few. It serves one goroutine at a time.
type Predictor struct {
	farFactor float64
	queues    map[string]*queueModel
	kinds     map[string]*ratioEstimate // the kind's runtimes over the usual ones, in all queues
}

// NewPredictor returns a predictor that has seen no runs: it predicts the hints.
func NewPredictor() *Predictor {
	return &Predictor{farFactor: defaultFarFactor, queues: map[string]*queueModel{}, kinds: map[string]*ratioEstimate{}}
}

// SetFarFactor sets how many times longer tasks run outside the rack of their data. It ignores factors below 1.
func (p *Predictor) SetFarFactor(factor float64) {
	if factor >= 1 {
		p.farFactor = factor
	}
}

// Observe learns from a run that succeeded: its queue, the kind of its runner, its size hint in ms, its runtime, and
// whether it ran far from its data.
func (p *Predictor) Observe(queue, kind string, sizeMs float64, duration time.Duration, far bool) {
	runtime := max(milliseconds(duration), minRuntimeMs)
	if far {
		runtime /= p.farFactor
	}
	model := p.queues[queue]
	if model == nil {
		model = newQueueModel()
		p.queues[queue] = model
	}
	if sizeMs = cleanSize(sizeMs); sizeMs == 0 {
		sizeMs = model.usualSize()
	}
	model.observe(p.kind(kind), kind, sizeMs, runtime)
}

// Predict returns the expected runtime of a run with a size hint in ms, near its data, on a runner of a kind that is
// neither slow nor warming up. An empty kind stands for the usual one. The prediction is never 0 or negative.
func (p *Predictor) Predict(queue, kind string, sizeMs float64) time.Duration {
	sizeMs = cleanSize(sizeMs)
	model := p.queues[queue]
	if model == nil {
		if sizeMs == 0 {
			sizeMs = unknownSizeMs
		}
		return fromMilliseconds(sizeMs * p.kindRatio(kind))
	}
	if sizeMs == 0 {
		sizeMs = model.usualSize()
	}
	return fromMilliseconds(model.predict(kind, sizeMs, p.kindRatio(kind)))
}

// PredictUpperBound returns a time that the longest of count runs with a size hint nearly always ends within, on the usual
// kind: longer than predicted by how far the queue's runtimes have deviated from their predictions.
func (p *Predictor) PredictUpperBound(queue string, sizeMs float64, count int) time.Duration {
	model := p.queues[queue]
	if model == nil {
		model = newQueueModel()
	}
	return time.Duration(float64(p.Predict(queue, "", sizeMs)) * model.upperBoundFactor(count))
}

// kind returns the ratio of a kind, to be updated.
func (p *Predictor) kind(name string) *ratioEstimate {
	known := p.kinds[name]
	if known == nil {
		known = &ratioEstimate{}
		p.kinds[name] = known
	}
	return known
}

// kindRatio returns the runtimes on a kind over those on the usual one, in all queues.
func (p *Predictor) kindRatio(name string) float64 {
	if known := p.kinds[name]; known != nil && name != "" {
		return known.value(1)
	}
	return 1
}

// cleanSize returns a size hint within bounds, and 0 for none and for one that makes no sense.
func cleanSize(sizeMs float64) float64 {
	if math.IsNaN(sizeMs) || sizeMs <= 0 {
		return 0
	}
	return min(sizeMs, float64(24*time.Hour/time.Millisecond))
}

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

func fromMilliseconds(ms float64) time.Duration {
	return time.Duration(max(ms, minRuntimeMs) * float64(time.Millisecond))
}
