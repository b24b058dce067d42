package app

import "fmt"

// StartError is a part of the dispatcher that can't be started.
type StartError struct {
	Part string // the key, variable or flag that it depends on
	Fix  string // what an operator can do
	Err  error
}

// Error names the part, the cause and the remedy.
func (e *StartError) Error() string { return fmt.Sprintf("%s: %v (%s)", e.Part, e.Err, e.Fix) }

// Unwrap returns the cause.
func (e *StartError) Unwrap() error { return e.Err }
