package latency

// RecordedSteps returns how many steps have a record.
func (r *Recorder) RecordedSteps() int {
	steps := len(r.groups)
	for _, records := range r.jobs {
		steps = max(steps, len(records))
	}
	return steps
}
