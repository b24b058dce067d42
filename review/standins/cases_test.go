package main

import (
	"errors"
	"os/exec"
	"testing"
)

// playCase runs the script of a case, after the build of deploy/system.toml and review/build.sh. The test fails if the rule was
// broken.
func playCase(t *testing.T, script string) {
	t.Helper()
	err := exec.CommandContext(t.Context(), script).Run()
	var ended *exec.ExitError
	switch {
	case err == nil:
	case errors.As(err, &ended) && ended.ExitCode() == broken:
		t.Errorf("%s: the rule was broken, see record.txt beside it", script)
	default:
		t.Skipf("%s could not run: %v", script, err)
	}
}

func TestLateHeartbeatEndsNoLivingRunner(t *testing.T) { playCase(t, "../1/run.sh") }

func TestTasksOfALostRunnerStartAfterARestart(t *testing.T) { playCase(t, "../2/run.sh") }

func TestCancelledJobIsNotAcceptedLater(t *testing.T) { playCase(t, "../3/run.sh") }
