package configuration

import "ospreypond/internal/cluster/failure"

// invalidf says what makes an order impossible to accept, whatever is in force.
func invalidf(format string, args ...any) error {
	return failure.Newf(failure.Invalid, format, args...)
}
