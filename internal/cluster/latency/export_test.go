package latency

// Open returns how many steps have a record.
func (l *Recorder) Open() int {
	open := len(l.groups)
	for _, records := range l.jobs {
		open = max(open, len(records))
	}
	return open
}
