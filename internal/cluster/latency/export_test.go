package latency

// RecordedSteps returns how many steps have a record, in the index by group or in that by job, whichever has more: it is 0
// only if neither keeps one.
func (r *Recorder) RecordedSteps() int {
	steps := len(r.groups)
	for _, records := range r.jobs {
		steps = max(steps, len(records))
	}
	return steps
}
