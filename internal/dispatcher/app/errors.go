package app

import "fmt"

// StartError reports that a part of the dispatcher cannot be started.
type StartError struct {
	Part string // the part, or the key of the configuration that it depends on
	Fix  string // the operator's remedy
	Err  error
}

// Error names the part, the cause and the remedy.
func (e *StartError) Error() string { return fmt.Sprintf("%s: %v (%s)", e.Part, e.Err, e.Fix) }

// Unwrap returns the cause.
func (e *StartError) Unwrap() error { return e.Err }
