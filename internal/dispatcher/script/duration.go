package script

import (
	"fmt"
	"math"
	"time"

	"go.starlark.net/starlark"
	"go.starlark.net/syntax"
)

// Duration is the type of durations in scripts, which write them as a number times a unit: 500 * ms. A number alone is not
// a duration, and two durations can't be multiplied.
type Duration time.Duration

var (
	_ starlark.HasBinary  = Duration(0)
	_ starlark.Comparable = Duration(0)
)

// String returns the duration in the form of time.Duration, such as 500ms.
func (d Duration) String() string { return time.Duration(d).String() }

// Type returns the name of the type in scripts.
func (d Duration) Type() string { return "duration" }

// Freeze has no effect, because a duration never changes.
func (d Duration) Freeze() {}

// Truth reports whether the duration is not 0.
func (d Duration) Truth() starlark.Bool { return d != 0 }

// Hash returns a hash of the duration.
func (d Duration) Hash() (uint32, error) { return uint32(d) ^ uint32(d>>32), nil }

// CompareSameType reports whether the comparison d op y holds; y is a Duration.
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

// Binary implements multiplication by a number, and addition and subtraction of two durations. It returns nil for other
// operations, which Starlark reports as errors.
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

// checkedDuration returns a duration of ns nanoseconds, or an error if it is out of range.
func checkedDuration(ns float64) (starlark.Value, error) {
	if math.IsNaN(ns) || math.Abs(ns) > math.MaxInt64/2 {
		return nil, fmt.Errorf("a duration of %g seconds is out of range", ns/1e9)
	}
	return Duration(ns), nil
}
