package simulator

import (
	"bytes"
	"errors"
	"fmt"
	"math"
	"strconv"
	"time"

	"ospreypond/internal/dispatcher/config"
	"ospreypond/policy"
)

// splitTab splits a line at its first tab.
func splitTab(b []byte) (name, rest []byte) {
	name, rest, _ = bytes.Cut(b, []byte{'\t'})
	return name, rest
}

// fields iterates over the fields of a line, which have the form name=value and are separated by tabs. key and val are the
// current field's; rest is the part of the line after it.
type fields struct{ rest, key, val []byte }

// next moves to the next field and reports whether there is one. Parts of the line without "=" are skipped.
func (f *fields) next() bool {
	for len(f.rest) > 0 {
		var field []byte
		field, f.rest = splitTab(f.rest)
		if k, v, ok := bytes.Cut(field, []byte{'='}); ok {
			f.key, f.val = k, v
			return true
		}
	}
	return false
}

// toEnd extends the current value to the end of the line. It is for a line's last field, as the text of that field may
// contain tabs.
func (f *fields) toEnd() {
	if len(f.rest) > 0 {
		f.val = append(append(bytes.Clone(f.val), '\t'), f.rest...)
		f.rest = nil
	}
}

// maxMicros bounds times, in microseconds, to a quarter of the largest time.Duration, so that sums of a few don't overflow.
const maxMicros = math.MaxInt64 / 4000

// micros parses a time in microseconds, bounded by maxMicros.
func micros(b []byte) (time.Duration, error) {
	n, err := strconv.ParseInt(string(b), 10, 64)
	if err != nil {
		return 0, fmt.Errorf("not a whole number of microseconds: %w", err)
	}
	return time.Duration(max(-maxMicros, min(maxMicros, n))) * time.Microsecond, nil
}

// number parses a finite number.
func number(b []byte) (float64, error) {
	v, err := strconv.ParseFloat(string(b), 64)
	if err != nil {
		return 0, fmt.Errorf("not a number: %w", err)
	}
	if math.IsNaN(v) || math.IsInf(v, 0) {
		return 0, errors.New("not a finite number")
	}
	return v, nil
}

// boolean parses 0 or 1.
func boolean(b []byte) (bool, error) {
	switch string(b) {
	case "1":
		return true, nil
	case "0":
		return false, nil
	}
	return false, fmt.Errorf("%q is neither 0 nor 1", b)
}

// outcome parses the outcome of an attempt or a probe.
func outcome(b []byte) (policy.Outcome, error) {
	switch string(b) {
	case "ok":
		return policy.OK, nil
	case "error":
		return policy.Failed, nil
	case "full":
		return policy.Full, nil
	case "timeout":
		return policy.TimedOut, nil
	case "connect_failed":
		return policy.ConnectFailed, nil
	case "reset":
		return policy.Reset, nil
	case "cancelled":
		return policy.Cancelled, nil
	case "moot":
		return policy.Moot, nil
	}
	return policy.Failed, fmt.Errorf("%q is not a known outcome", b)
}

// report parses a load report, name:value pairs separated by commas. It skips names that the settings assign to no field,
// and sets negative values to 0.
func report(s *config.Settings, b []byte) (policy.Report, error) {
	r := policy.NoReport
	for len(b) > 0 {
		var field []byte
		field, b, _ = bytes.Cut(b, []byte{','})
		k, v, ok := bytes.Cut(field, []byte{':'})
		if !ok {
			continue
		}
		to := s.ReportField(&r, string(k))
		if to == nil {
			continue
		}
		x, err := number(v)
		if err != nil {
			return r, fmt.Errorf("%s: %w", k, err)
		}
		*to = max(0, x)
	}
	return r, nil
}

// appendAction appends the line for an action to b and returns it. Actions that the protocol has no line for are skipped.
func appendAction(b []byte, a *policy.Action) []byte {
	num := func(key string, v int64) { b = strconv.AppendInt(append(append(b, '\t'), key...), v, 10) }
	text := func(key, v string) { b = append(append(append(b, '\t'), key...), v...) }
	us := func(d time.Duration) int64 { return int64(d / time.Microsecond) }
	switch a.Kind {
	case policy.Send:
		b = append(b, "FORWARD"...)
		num("ticket=", int64(a.ID))
		if a.Timeout != 0 {
			num("maxWaitUs=", us(a.Timeout))
		}
		text("worker=", a.Worker)
	case policy.Cancel:
		b = append(b, "WITHDRAW"...)
		num("ticket=", int64(a.ID))
		num("go=", int64(a.Attempt))
	case policy.Refuse:
		b = append(b, "OVERLOAD_REPLY"...)
		num("ticket=", int64(a.ID))
		if a.RetryAfter > 0 {
			num("waitUs=", us(a.RetryAfter))
		}
	case policy.Fail:
		b = append(b, "END_FAILED"...)
		num("ticket=", int64(a.ID))
	case policy.ArmTimer:
		b = append(b, "ARM"...)
		num("instantUs=", us(a.At+time.Microsecond-1)) // rounded up, so that the timer doesn't fire before At
		num("tag=", int64(a.Token))
	case policy.Probe:
		b = append(b, "SAMPLE"...)
		text("worker=", a.Worker)
	case policy.Subscribe:
		b = append(b, "TAIL\ton=1"...)
	case policy.CloseIdle:
		b = append(b, "HANG_UP"...)
		text("worker=", a.Worker)
	case policy.Log:
		b = append(b, "SAY_LOG"...)
		text("what=", a.Text)
	default:
		return b
	}
	return append(b, '\n')
}
