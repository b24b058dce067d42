// Package script reads the operator's fleet script, which is written in Starlark and configures how this dispatcher takes
// part in a fleet. The settings that the platform provides stay in its JSON file. A script can compute, but it can't read
// files or call anything outside, and its number of steps is bounded.
//
// All errors in a file are reported together, each with its position, call, argument and remedy.
package script

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"time"

	"go.starlark.net/starlark"
	"go.starlark.net/syntax"
)

const (
	maxSteps = 1_000_000 // execution steps of Starlark
	maxBytes = 1 << 20   // in a script
)

// Fleet has the arguments of the call fleet(...).
type Fleet struct {
	Name   string // the name of the fleet, not of the dispatcher
	Listen string // ip:port of this dispatcher's UDP socket
	// Advertise is the ip:port of this dispatcher's socket as other dispatchers reach it; by default it is Listen. Roster
	// and Seeds have the Advertise addresses of dispatchers.
	Advertise string
	Seeds     []string      // the dispatchers through which this one joins the fleet; if empty, those in Roster
	Key       string        // the fleet's shared secret
	Interval  time.Duration // the time between two probes of a dispatcher
	Refusals  bool          // a refused datagram proves that the dispatcher at its address is dead
	Roster    []string      // the addresses of all dispatchers, in the order of their numbers
	Lease     time.Duration // how long a proof of a dispatcher's death is valid
}

// Settings are the settings that a script makes.
type Settings struct {
	Fleet *Fleet // nil: the script doesn't call fleet(...)
}

// Self has the values that a script can read about its dispatcher.
type Self struct {
	Name   string // the variable `dispatcher` in scripts
	Number int    // the variable `number` in scripts
}

// FileError is one error in a script.
type FileError struct {
	Position string // file:line:column
	Call     string // the name of the built-in function; empty: the error is not in a call
	Argument string // empty: the error is in the call as a whole
	Problem  string
	Fix      string // the remedy; may be empty
	Err      error  // the operating system's error; may be nil
}

// Unwrap returns Err.
func (e *FileError) Unwrap() error { return e.Err }

// Error returns the position, the call and its argument, the problem and the remedy.
func (e *FileError) Error() string {
	what := e.Call
	if e.Argument != "" {
		what += ": " + e.Argument
	}
	if what != "" {
		what += ": "
	}
	fix := ""
	if e.Fix != "" {
		fix = " (" + e.Fix + ")"
	}
	return e.Position + ": " + what + e.Problem + fix
}

// FileErrors are all errors in a script. errors.As with a *FileError finds the first.
type FileErrors []*FileError

// Error returns the errors, one per line.
func (es FileErrors) Error() string {
	lines := make([]string, len(es))
	for i, e := range es {
		lines[i] = e.Error()
	}
	return strings.Join(lines, "\n")
}

// Unwrap returns the errors.
func (es FileErrors) Unwrap() []error {
	errs := make([]error, len(es))
	for i, e := range es {
		errs[i] = e
	}
	return errs
}

// Read executes the script at path and returns its settings. Its error is of type FileErrors.
func Read(path string, self Self) (*Settings, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, FileErrors{{Position: path, Problem: "can't be read: " + err.Error(), Fix: "name a file that this user may read", Err: err}}
	}
	if len(text) > maxBytes {
		return nil, FileErrors{{Position: path, Problem: fmt.Sprintf("is %d bytes long", len(text)), Fix: fmt.Sprintf("at most %d bytes are read", maxBytes)}}
	}
	return Parse(filepath.Base(path), text, self)
}

// Parse executes a script's text like Read. name is the file's name in errors.
func Parse(name string, text []byte, self Self) (*Settings, error) {
	s := &Settings{}
	var errs FileErrors
	thread := &starlark.Thread{Name: name, Print: func(*starlark.Thread, string) {},
		Load: func(*starlark.Thread, string) (starlark.StringDict, error) {
			return nil, errors.New("a settings file can't load another file")
		}}
	thread.SetMaxExecutionSteps(maxSteps)
	predeclared := starlark.StringDict{
		"ms": Duration(time.Millisecond), "s": Duration(time.Second), "minute": Duration(time.Minute), "hour": Duration(time.Hour),
		"dispatcher": starlark.String(self.Name), "number": starlark.MakeInt(self.Number),
		"fleet": starlark.NewBuiltin("fleet", func(t *starlark.Thread, _ *starlark.Builtin, args starlark.Tuple, kwargs []starlark.Tuple) (starlark.Value, error) {
			c := newCall("fleet", t.CallFrame(1).Pos.String(), args, kwargs)
			if s.Fleet != nil {
				c.addError("", "is called twice", "a file may call it once")
			}
			s.Fleet = c.fleet()
			errs = append(errs, c.errors...)
			return starlark.None, nil
		}),
	}
	opts := &syntax.FileOptions{TopLevelControl: true, Set: true}
	if _, err := starlark.ExecFileOptions(opts, thread, name, text, predeclared); err != nil {
		errs = append(errs, scriptError(name, err))
	}
	if len(errs) > 0 {
		return nil, errs
	}
	return s, nil
}

// scriptError returns the error for a script that can't be parsed or executed.
func scriptError(name string, err error) *FileError {
	var (
		syntaxErr syntax.Error
		eval      *starlark.EvalError
	)
	switch {
	case errors.As(err, &syntaxErr):
		return &FileError{Position: syntaxErr.Pos.String(), Problem: syntaxErr.Msg}
	case errors.As(err, &eval) && len(eval.CallStack) > 0:
		fix := ""
		if strings.Contains(eval.Msg, "too many steps") {
			fix = fmt.Sprintf("a script may take %d steps", maxSteps)
		}
		return &FileError{Position: eval.CallStack.At(min(1, len(eval.CallStack)-1)).Pos.String(), Problem: eval.Msg, Fix: fix}
	}
	return &FileError{Position: name, Problem: err.Error()} // the text has the position, if there is one
}
