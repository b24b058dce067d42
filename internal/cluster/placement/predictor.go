package placement

import (
	"math"
	"time"
)

// Figures of the predictor. Runs count as one each, fading as later ones come.
const (
	runsKept       = 200.0 // runs that a fit remembers, about: older ones fade
	hintRuns       = 1.0   // runs that the hint itself counts as, in a queue's fit
	slopeRuns      = 3.0   // runs that a slope of priorSlope counts as
	priorSlope     = 0.5   // part of a difference in hints that shows in runtimes, before that is known
	slopeMost      = 2.0   // hints overstate differences; they hardly understate them
	tableRuns      = 6.0   // runs at which a row of the table counts as much as the fit
	rowRuns        = 60.0  // runs that a row remembers, about
	siblingRuns    = 0.7   // runs at which those of exactly this hint count as much as the rest of the queue
	kindRuns       = 4.0   // runs at which a kind's own factor counts as much as what is known otherwise
	outlierRuns    = 6.0   // runs from which on outliers are known as such
	outlier        = 4.0   // a run counts as at most so many times what was predicted, and at least that part
	unknownSizeMs  = 1000  // for a task without a hint in a queue of which nothing is known
	shortest       = 1.0   // ms; no run is taken to be shorter
	rowsPerOctave  = 2     // rows of the table for each doubling of the size
	rows           = 48    // rows of the table, from 1 ms on
	siblingsKept   = 128   // hints of which siblings are known, in each queue
	farUntilStated = 1.5   // the far factor until it is set
)

// Predictor predicts runtimes from what ran before. Each queue starts with a linear fit of runtime on the size hint;
// a table by kind of runner and size takes over as it fills, and runs with exactly the same hint, which are siblings of
// one step, count most. Hints may be far off: the slope of the fit is no more than what they have proved to tell, so
// where they are noise the queue's mean is what is left.
type Predictor struct {
	far    float64
	queues map[string]*queueModel
	kinds  map[string]*factor // over all queues
}

// NewPredictor returns a predictor that knows nothing yet: it believes the hints.
func NewPredictor() *Predictor {
	return &Predictor{far: farUntilStated, queues: map[string]*queueModel{}, kinds: map[string]*factor{}}
}

// SetFarFactor says how much longer tasks run outside the rack of their data.
func (p *Predictor) SetFarFactor(far float64) {
	if far >= 1 {
		p.far = far
	}
}

// Observe learns from a run that went well: its queue, the kind of its runner, its size hint in ms, how long it
// took, and whether it ran far from its data.
func (p *Predictor) Observe(queue, kind string, sizeMs float64, duration time.Duration, far bool) {
	took := max(milliseconds(duration), shortest)
	if far {
		took /= p.far
	}
	model := p.queues[queue]
	if model == nil {
		model = newQueueModel()
		p.queues[queue] = model
	}
	if sizeMs = cleanSize(sizeMs); sizeMs == 0 {
		sizeMs = model.usualSize()
	}
	model.observe(p.kind(kind), kind, sizeMs, took)
}

// Predict returns how long a run near its data is expected to take on a sound runner of that kind. An empty kind
// stands for the usual one.
func (p *Predictor) Predict(queue, kind string, sizeMs float64) time.Duration {
	sizeMs = cleanSize(sizeMs)
	model := p.queues[queue]
	if model == nil {
		if sizeMs == 0 {
			sizeMs = unknownSizeMs
		}
		return fromMilliseconds(sizeMs * p.kindValue(kind))
	}
	if sizeMs == 0 {
		sizeMs = model.usualSize()
	}
	return fromMilliseconds(model.predict(kind, sizeMs, p.kindValue(kind)))
}

// KindFactor returns C of a kind over all queues: the runtime on the fastest kind over that on this one, so 1 for the
// fastest and less for others. A kind that is not known counts as the usual one.
func (p *Predictor) KindFactor(kind string) float64 {
	fastest := p.kindValue(kind)
	for _, other := range p.kinds {
		fastest = min(fastest, other.value(1))
	}
	return fastest / p.kindValue(kind)
}

func (p *Predictor) kind(name string) *factor {
	known := p.kinds[name]
	if known == nil {
		known = &factor{}
		p.kinds[name] = known
	}
	return known
}

func (p *Predictor) kindValue(name string) float64 {
	if known := p.kinds[name]; known != nil && name != "" {
		return known.value(1)
	}
	return 1
}

// cleanSize returns 0 for a hint that says nothing.
func cleanSize(sizeMs float64) float64 {
	if math.IsNaN(sizeMs) || sizeMs <= 0 {
		return 0
	}
	return min(sizeMs, float64(24*time.Hour/time.Millisecond))
}

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

func fromMilliseconds(ms float64) time.Duration {
	return time.Duration(max(ms, shortest) * float64(time.Millisecond))
}
