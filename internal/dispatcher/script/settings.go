// Package settings reads the operator's own file, a script in Starlark that switches on what is ours: what the platform
// tells stays in its JSON. The script can compute, but it reads no file, calls nothing outside and is bounded in its steps.
//
// Every fault of the file is told at once, each with file, line, column, the call, the argument and what would be right.
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

// Fleet is what fleet(...) says: how this dispatcher takes part in a fleet.
type Fleet struct {
	Name   string // the fleet's
	Listen string // ip:port of this dispatcher's socket
	// Advertise is where others reach that socket, where that is not Listen; Roster and Seeds have such addresses.
	Advertise string
	Seeds     []string
	Key       string
	Interval  time.Duration
	Refusals  bool
	Roster    []string
	Lease     time.Duration
}

// Settings is all that a file says.
type Settings struct {
	Fleet *Fleet // nil: no fleet
}

// Me is what a script may ask about the dispatcher that reads it.
type Me struct {
	Name   string // as `dispatcher`
	Number int    // as `number`
}

// Fault is one thing wrong in a file.
type Fault struct {
	At       string // file:line:column
	Call     string // the built-in, empty for a fault of the script itself
	Argument string // empty for a fault of the whole call
	Problem  string
	Fix      string // what an operator can do
	Err      error  // what the system said, if anything
}

// Unwrap returns the cause, or nil.
func (f *Fault) Unwrap() error { return f.Err }

// Error names the place, the call and its argument, the problem and the remedy.
func (f *Fault) Error() string {
	what := f.Call
	if f.Argument != "" {
		what += ": " + f.Argument
	}
	if what != "" {
		what += ": "
	}
	fix := ""
	if f.Fix != "" {
		fix = " (" + f.Fix + ")"
	}
	return f.At + ": " + what + f.Problem + fix
}

// Faults are all that is wrong in a file.
type Faults []*Fault

// Error returns the faults, one a line.
func (fs Faults) Error() string {
	lines := make([]string, len(fs))
	for i, f := range fs {
		lines[i] = f.Error()
	}
	return strings.Join(lines, "\n")
}

// Unwrap returns the faults.
func (fs Faults) Unwrap() []error {
	errs := make([]error, len(fs))
	for i, f := range fs {
		errs[i] = f
	}
	return errs
}

// Read reads and checks the file at path. Its error is Faults.
func Read(path string, me Me) (*Settings, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, Faults{{At: path, Problem: "can't be read: " + err.Error(), Fix: "name a file that this user may read", Err: err}}
	}
	if len(text) > maxBytes {
		return nil, Faults{{At: path, Problem: fmt.Sprintf("is %d bytes long", len(text)), Fix: fmt.Sprintf("at most %d are read", maxBytes)}}
	}
	return Parse(filepath.Base(path), text, me)
}

// Parse is Read on a text.
func Parse(name string, text []byte, me Me) (*Settings, error) {
	s := &Settings{}
	var faults Faults
	thread := &starlark.Thread{Name: name, Print: func(*starlark.Thread, string) {},
		Load: func(*starlark.Thread, string) (starlark.StringDict, error) {
			return nil, errors.New("a settings file loads no other")
		}}
	thread.SetMaxExecutionSteps(maxSteps)
	predeclared := starlark.StringDict{
		"ms": Duration(time.Millisecond), "s": Duration(time.Second), "minute": Duration(time.Minute), "hour": Duration(time.Hour),
		"dispatcher": starlark.String(me.Name), "number": starlark.MakeInt(me.Number),
		"fleet": starlark.NewBuiltin("fleet", func(t *starlark.Thread, _ *starlark.Builtin, args starlark.Tuple, kwargs []starlark.Tuple) (starlark.Value, error) {
			c := newCall("fleet", t.CallFrame(1).Pos.String(), args, kwargs)
			if s.Fleet != nil {
				c.fault("", "is called twice", "one file has one fleet")
			}
			s.Fleet = c.fleet()
			faults = append(faults, c.faults...)
			return starlark.None, nil
		}),
	}
	opts := &syntax.FileOptions{TopLevelControl: true, Set: true}
	if _, err := starlark.ExecFileOptions(opts, thread, name, text, predeclared); err != nil {
		faults = append(faults, faultOf(name, err))
	}
	if len(faults) > 0 {
		return nil, faults
	}
	return s, nil
}

// faultOf is a fault of the script itself.
func faultOf(name string, err error) *Fault {
	var (
		bad  syntax.Error
		eval *starlark.EvalError
	)
	switch {
	case errors.As(err, &bad):
		return &Fault{At: bad.Pos.String(), Problem: bad.Msg}
	case errors.As(err, &eval) && len(eval.CallStack) > 0:
		fix := ""
		if strings.Contains(eval.Msg, "too many steps") {
			fix = fmt.Sprintf("a script may take %d steps", maxSteps)
		}
		return &Fault{At: eval.CallStack.At(min(1, len(eval.CallStack)-1)).Pos.String(), Problem: eval.Msg, Fix: fix}
	}
	return &Fault{At: name, Problem: err.Error()} // it names its own place, if it has one
}
