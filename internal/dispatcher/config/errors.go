package config

import "fmt"

// KeyError is a fault of the configuration file at one key.
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
	Err      error  // what the system or the parser said, if anything
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

// settingError is a KeyError within settings.
func settingError(key, fix, problem string, args ...any) *KeyError {
	return &KeyError{Key: "settings." + key, Problem: fmt.Sprintf(problem, args...), Fix: fix}
}
