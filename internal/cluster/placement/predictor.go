package placement

import (
	"math"
	"time"
)

const (
	unknownSizeMs         = 1000.0 // size of a task without a hint in a queue without observed runs
	minRuntimeMs          = 1.0    // shorter runtimes, observed or predicted, are raised to this
	defaultNonLocalFactor = 1.5    // nonLocalFactor of a predictor on which SetNonLocalFactor wasn't called
)

// Predictor predicts the runtimes of tasks from the runtimes of earlier runs. The size of a task, also called its hint, is
// the client's estimate of its runtime in ms.
//
// As in the Kairos paper (end of section 5.1), each queue starts with a linear fit of the runtime to the size. A table by
// kind of runner and size takes over as it fills. This package adds two things, because hints may be very inaccurate:
//
//   - Runs with the same hint as the task have the largest weight, because most of them are tasks of one step.
//   - The slope of the fit reflects how well the hints have predicted differences in runtime. If the hints are noise, the
//     slope is near 0, and the prediction is near the mean of the queue.
//
// A Predictor never forgets queues and kinds, because there are few. It may be used by one goroutine at a time.
type Predictor struct {
	nonLocalFactor float64
	queues         map[string]*queueModel    // by queue
	kinds          map[string]*ratioEstimate // by kind: runtimes on the kind over base runtimes, in all queues
}

// NewPredictor returns a predictor without observed runs. It predicts the hints until it observes runs.
func NewPredictor() *Predictor {
	return &Predictor{nonLocalFactor: defaultNonLocalFactor, queues: map[string]*queueModel{}, kinds: map[string]*ratioEstimate{}}
}

// SetNonLocalFactor sets how many times longer tasks run outside the rack of their data. It ignores a factor below 1.
func (p *Predictor) SetNonLocalFactor(factor float64) {
	if factor >= 1 {
		p.nonLocalFactor = factor
	}
}

// Observe records the runtime of a run that succeeded. sizeMs is its hint in ms; 0 or less stands for no hint. nonLocal
// reports whether it ran outside the rack of its data; its runtime is then divided by the factor for that.
func (p *Predictor) Observe(queue, kind string, sizeMs float64, duration time.Duration, nonLocal bool) {
	runtime := max(milliseconds(duration), minRuntimeMs)
	if nonLocal {
		runtime /= p.nonLocalFactor
	}
	model := p.queues[queue]
	if model == nil {
		model = newQueueModel()
		p.queues[queue] = model
	}
	if sizeMs = cleanSize(sizeMs); sizeMs == 0 {
		sizeMs = model.defaultSize()
	}
	model.observe(p.kind(kind), kind, sizeMs, runtime)
}

// Predict returns the expected runtime of a task with a hint in ms, in the rack of its data, on a runner of a kind that is
// neither slow nor warming up. An empty kind stands for the average over all kinds. The prediction is always positive.
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
		sizeMs = model.defaultSize()
	}
	return fromMilliseconds(model.predict(kind, sizeMs, p.kindRatio(kind)))
}

// PredictUpperBound returns a runtime that the longest of count runs with a hint in ms almost never exceeds, on the
// average kind of runner. It exceeds the prediction according to the deviation of the queue's earlier runtimes from their
// predictions.
func (p *Predictor) PredictUpperBound(queue string, sizeMs float64, count int) time.Duration {
	model := p.queues[queue]
	if model == nil {
		model = newQueueModel()
	}
	return time.Duration(float64(p.Predict(queue, "", sizeMs)) * model.upperBoundFactor(count))
}

// kind returns the estimated ratio of a kind, to be updated.
func (p *Predictor) kind(name string) *ratioEstimate {
	known := p.kinds[name]
	if known == nil {
		known = &ratioEstimate{}
		p.kinds[name] = known
	}
	return known
}

// kindRatio returns the estimated ratio of runtimes on a kind to base runtimes, in all queues; 1 if it is unknown.
func (p *Predictor) kindRatio(name string) float64 {
	if known := p.kinds[name]; known != nil && name != "" {
		return known.value(1)
	}
	return 1
}

// cleanSize returns a hint in ms, limited to a day, or 0 for a hint that isn't a positive number.
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
