package administration

import (
	"github.com/pkg/errors"

	"ospreypond/internal/cluster/failure"
	"ospreypond/internal/cluster/failure/answers"
)

// Advice returns what an operator can do about an error that has a kind of package failure; "" for any other error.
func Advice(err error) string {
	var known *failure.Error
	if !errors.As(err, &known) {
		return ""
	}
	return answers.ForKind(known.Kind).Advice
}
