package configuration

import "ospreypond/internal/cluster/failure"

// invalidf returns an error of kind failure.Invalid: the command is not accepted, and a retry of it never will be.
func invalidf(format string, args ...any) error {
	return failure.Newf(failure.Invalid, format, args...)
}
