// Package script reads the operator's fleet script, in Starlark, which configures what is ours: what the platform
// sets stays in its JSON. A script can compute, but it reads no file, calls nothing outside and is bounded in its
// steps.
//
// All errors of a file are reported together, each with file, line, column, call, argument and remedy.
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
	maxSteps = 1_000_000
	maxBytes = 1 << 20
)

// Fleet is the call fleet(...): how this dispatcher takes part in a fleet.
type Fleet struct {
	Name   string // the fleet's
	Listen string // ip:port of this dispatcher's socket
	// Advertise is the address by which others reach that socket; Roster and Seeds have such addresses.
	Advertise string
	Seeds     []string
	Key       string
	Interval  time.Duration
	Refusals  bool
	Roster    []string
	Lease     time.Duration
}

// Settings is what a script configures.
type Settings struct {
	Fleet *Fleet // nil: no fleet
}

// Self is what a script can read about its dispatcher.
type Self struct {
	Name   string // as `dispatcher`
	Number int    // as `number`
}

// FileError is one error in a script.
type FileError struct {
	Position string // file:line:column
	Call     string // the built-in; empty: the script itself
	Argument string // empty: the call as a whole
	Problem  string
	Fix      string // what an operator can do
	Err      error  // from the system; may be nil
}

// Unwrap returns the cause, or nil.
func (e *FileError) Unwrap() error { return e.Err }

// Error names the position, the call and its argument, the problem and the remedy.
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

// FileErrors are all errors in a script. errors.As finds each FileError.
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

// Read reads and checks the script at path. Its error is FileErrors.
func Read(path string, self Self) (*Settings, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, FileErrors{{Position: path, Problem: "can't be read: " + err.Error(), Fix: "name a file that this user may read", Err: err}}
	}
	if len(text) > maxBytes {
		return nil, FileErrors{{Position: path, Problem: fmt.Sprintf("is %d bytes long", len(text)), Fix: fmt.Sprintf("at most %d are read", maxBytes)}}
	}
	return Parse(filepath.Base(path), text, self)
}

// Parse is Read of a text; name is used in errors.
func Parse(name string, text []byte, self Self) (*Settings, error) {
	s := &Settings{}
	var errs FileErrors
	thread := &starlark.Thread{Name: name, Print: func(*starlark.Thread, string) {},
		Load: func(*starlark.Thread, string) (starlark.StringDict, error) {
			return nil, errors.New("a settings file loads no other")
		}}
	thread.SetMaxExecutionSteps(maxSteps)
	predeclared := starlark.StringDict{
		"ms": Duration(time.Millisecond), "s": Duration(time.Second), "minute": Duration(time.Minute), "hour": Duration(time.Hour),
		"dispatcher": starlark.String(self.Name), "number": starlark.MakeInt(self.Number),
		"fleet": starlark.NewBuiltin("fleet", func(t *starlark.Thread, _ *starlark.Builtin, args starlark.Tuple, kwargs []starlark.Tuple) (starlark.Value, error) {
			c := newCall("fleet", t.CallFrame(1).Pos.String(), args, kwargs)
			if s.Fleet != nil {
				c.addError("", "is called twice", "one file has one fleet")
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

// scriptError returns the error of a script that can't be parsed or executed.
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
	return &FileError{Position: name, Problem: err.Error()} // it has its own position, if any
}
