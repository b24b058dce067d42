package config

import "fmt"

// KeyError is an invalid key of the configuration file.
type KeyError struct {
	Key     string // dotted path from the top of the file
	Problem string
	Fix     string // what an operator can do
}

// Error names the key, the problem and the remedy.
func (e *KeyError) Error() string { return fmt.Sprintf("key %q: %s (%s)", e.Key, e.Problem, e.Fix) }

// SourceError is a variable, or the file that LB_CONFIG names, that can't be used at all.
type SourceError struct {
	Variable string
	Problem  string
	Fix      string // what an operator can do
	Err      error  // from the system or the parser; may be nil
}

// Error names the variable, the problem, its cause and the remedy.
func (e *SourceError) Error() string {
	s := e.Variable + ": " + e.Problem
	if e.Err != nil {
		s += ": " + e.Err.Error()
	}
	return s + " (" + e.Fix + ")"
}

// Unwrap returns the cause, or nil.
func (e *SourceError) Unwrap() error { return e.Err }

// settingError returns a KeyError of a key within settings.
func settingError(key, fix, problem string, args ...any) *KeyError {
	return &KeyError{Key: "settings." + key, Problem: fmt.Sprintf(problem, args...), Fix: fix}
}
