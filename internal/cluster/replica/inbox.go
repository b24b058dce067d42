package replica

import "sync"

// inbox collects what other goroutines give the loop until its next step.
type inbox struct {
	mutex     sync.Mutex
	envelopes []*Envelope
	functions []func()
	wake      chan struct{} // has an element if there is any input
	notify    func()        // nil: an element is put into wake instead
}

// Receive takes an envelope from another process. Any goroutine may call it. The envelope belongs to the engine from
// then on.
func (e *Engine) Receive(envelope *Envelope) {
	e.inbox.mutex.Lock()
	e.inbox.envelopes = append(e.inbox.envelopes, envelope)
	e.inbox.mutex.Unlock()
	e.inbox.signal()
}

// Do runs f on the loop, after every function that was given to Do before. Any goroutine may call it. Functions given
// after Run has returned never run.
func (e *Engine) Do(f func()) {
	e.inbox.mutex.Lock()
	e.inbox.functions = append(e.inbox.functions, f)
	e.inbox.mutex.Unlock()
	e.inbox.signal()
}

func (i *inbox) signal() {
	if i.notify != nil {
		i.notify()
		return
	}
	select {
	case i.wake <- struct{}{}:
	default:
	}
}

// take returns all inputs, and leaves the given empty slices to collect the next ones in.
func (i *inbox) take(envelopes []*Envelope, functions []func()) ([]*Envelope, []func()) {
	i.mutex.Lock()
	defer i.mutex.Unlock()
	envelopes, i.envelopes = i.envelopes, envelopes
	functions, i.functions = i.functions, functions
	return envelopes, functions
}
