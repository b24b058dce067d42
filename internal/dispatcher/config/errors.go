package config

import "fmt"

// KeyError reports that a key of the configuration file is invalid.
type KeyError struct {
	Key     string // dotted path from the top of the file
	Problem string // the fault, with the value that was read and its bound
	Fix     string // the operator's remedy
}

// Error names the key, the problem and the remedy.
func (e *KeyError) Error() string { return fmt.Sprintf("key %q: %s (%s)", e.Key, e.Problem, e.Fix) }

// SourceError reports that an environment variable, or the file that LB_CONFIG names, cannot be used.
type SourceError struct {
	Variable string // name of the environment variable
	Problem  string
	Fix      string // the operator's remedy
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

// settingError returns a KeyError for a key of the settings object; key is its dotted path within that object.
func settingError(key, fix, problem string, args ...any) *KeyError {
	return &KeyError{Key: "settings." + key, Problem: fmt.Sprintf(problem, args...), Fix: fix}
}
