package main

import (
	"errors"
	"os/exec"
	"testing"
)

// TestSecondReviewCases plays the scripts of this review, after the build of deploy/system.toml and review/build-2.sh. It
// fails if one of them broke its rule.
func TestSecondReviewCases(t *testing.T) {
	for _, script := range []string{"../4/run.sh", "../5/run.sh", "../6/run.sh"} {
		t.Run(script, func(t *testing.T) {
			err := exec.CommandContext(t.Context(), script).Run()
			var ended *exec.ExitError
			switch {
			case err == nil:
			case errors.As(err, &ended) && ended.ExitCode() == 1:
				t.Errorf("%s: the rule was broken, see record.txt beside it", script)
			default:
				t.Skipf("%s could not run: %v", script, err)
			}
		})
	}
}
