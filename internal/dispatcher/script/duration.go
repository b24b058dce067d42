package script

import (
	"fmt"
	"math"
	"time"

	"go.starlark.net/starlark"
	"go.starlark.net/syntax"
)

// Duration is a time with its unit, as scripts write it: 500 * ms. A number is not a duration, and durations can't be
// multiplied.
type Duration time.Duration

var (
	_ starlark.HasBinary  = Duration(0)
	_ starlark.Comparable = Duration(0)
)

// String returns the duration in Go's form.
func (d Duration) String() string { return time.Duration(d).String() }

// Type returns the type's name in scripts.
func (d Duration) Type() string { return "duration" }

// Freeze does nothing: a duration never changes.
func (d Duration) Freeze() {}

// Truth reports whether the duration isn't 0.
func (d Duration) Truth() starlark.Bool { return d != 0 }

// Hash returns a hash of the duration.
func (d Duration) Hash() (uint32, error) { return uint32(d) ^ uint32(d>>32), nil }

// CompareSameType orders durations.
func (d Duration) CompareSameType(op syntax.Token, y starlark.Value, _ int) (bool, error) {
	o := y.(Duration)
	switch op {
	case syntax.EQL:
		return d == o, nil
	case syntax.NEQ:
		return d != o, nil
	case syntax.LT:
		return d < o, nil
	case syntax.LE:
		return d <= o, nil
	case syntax.GT:
		return d > o, nil
	default:
		return d >= o, nil
	}
}

// Binary multiplies by numbers, and adds and subtracts durations; it returns nil for other operations.
func (d Duration) Binary(op syntax.Token, y starlark.Value, _ starlark.Side) (starlark.Value, error) {
	switch y := y.(type) {
	case Duration:
		switch op {
		case syntax.PLUS:
			return checkedDuration(float64(d) + float64(y))
		case syntax.MINUS:
			return checkedDuration(float64(d) - float64(y))
		}
	case starlark.Int, starlark.Float:
		if op == syntax.STAR {
			n, _ := starlark.AsFloat(y)
			return checkedDuration(float64(d) * n)
		}
	}
	return nil, nil
}

// checkedDuration returns a duration of so many nanoseconds, or an error if it is out of range.
func checkedDuration(ns float64) (starlark.Value, error) {
	if math.IsNaN(ns) || math.Abs(ns) > math.MaxInt64/2 {
		return nil, fmt.Errorf("a duration of %g seconds", ns/1e9)
	}
	return Duration(ns), nil
}
