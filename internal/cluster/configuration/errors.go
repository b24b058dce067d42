package configuration

import "ospreypond/internal/cluster/failure"

// invalidf returns an error of kind failure.Invalid: the command is rejected, and so is every retry.
func invalidf(format string, args ...any) error {
	return failure.Newf(failure.Invalid, format, args...)
}
