package configuration

import "ospreypond/internal/cluster/failure"

// invalidf returns an error of kind failure.Invalid: the command can't be accepted, and no retry of it will be.
func invalidf(format string, args ...any) error {
	return failure.Newf(failure.Invalid, format, args...)
}
