package administration

import (
	"github.com/pkg/errors"

	"ospreypond/internal/cluster/failure"
	"ospreypond/internal/cluster/failure/answers"
)

// Advice returns what an operator can do about a fault of the system, or "" for another error.
func Advice(err error) string {
	var known *failure.Error
	if !errors.As(err, &known) {
		return ""
	}
	return answers.To(known.Kind).Advice
}
