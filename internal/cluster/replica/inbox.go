package replica

import "sync"

// inbox collects the inputs of the loop's next step. Any goroutine may add inputs.
type inbox struct {
	mutex     sync.Mutex
	envelopes []*Envelope
	functions []func()
	wake      chan struct{} // of capacity 1; has an element if an input was added since the loop last received from it
	notify    func()        // called for each input in place of a send to wake, if it is not nil
}

// Receive gives the engine an envelope from another process. Any goroutine may call it. The caller must not use the
// envelope afterwards.
func (e *Engine) Receive(envelope *Envelope) {
	e.inbox.mutex.Lock()
	e.inbox.envelopes = append(e.inbox.envelopes, envelope)
	e.inbox.mutex.Unlock()
	e.inbox.signal()
}

// Do has the loop call f in its next step. Functions run in the order of the calls of Do. Any goroutine may call Do. A
// function that the loop has not run when Run returns never runs.
func (e *Engine) Do(f func()) {
	e.inbox.mutex.Lock()
	e.inbox.functions = append(e.inbox.functions, f)
	e.inbox.mutex.Unlock()
	e.inbox.signal()
}

// signal wakes the loop.
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

// take returns all inputs. The inbox collects the next inputs in the given slices, which must be empty.
func (i *inbox) take(envelopes []*Envelope, functions []func()) ([]*Envelope, []func()) {
	i.mutex.Lock()
	defer i.mutex.Unlock()
	envelopes, i.envelopes = i.envelopes, envelopes
	functions, i.functions = i.functions, functions
	return envelopes, functions
}
