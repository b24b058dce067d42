package coordinator

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"ospreypond/policy"
)

// New settings: a request under way keeps its class and its attempts, a new one is decided on under the new
// settings at once, and the module before is let go when its requests have ended.
func TestRetuneKeepsWhatIsUnderWay(t *testing.T) {
	coordinator, e := run(t, testSettings())
	old := submit(context.Background(), coordinator, request(time.Minute))
	assert.Equal(t, "w", (<-e.attempts).Target)

	set := testSettings()
	set.MaxAttempts = 1
	set.Classes[0].Name = "d" // "c" is gone, "d" is new
	require.NoError(t, coordinator.Retune(set))
	fresh := request(time.Minute)
	fresh.ID, fresh.Class = "fresh", "d"
	eventually(t, func() bool {
		n := make(chan int)
		coordinator.do(func() { n <- len(coordinator.mods) })
		return <-n == 2
	})
	// The old request's first attempt was turned away unstarted: under its own settings it may try again,
	// though the new ones allow one attempt only and know no class "c".
	e.ends <- AttemptEnd{Outcome: policy.Full, Report: policy.NoReport}
	again := <-e.attempts
	assert.Equal(t, "r", again.Request.ID)
	e.ends <- AttemptEnd{Outcome: policy.OK, Result: []byte("old"), Report: policy.NoReport}
	assert.Equal(t, Answer{Kind: Served, Result: []byte("old")}, answerOf(t, old))

	got := submit(context.Background(), coordinator, fresh)
	assert.Equal(t, "fresh", (<-e.attempts).Request.ID, "a request of the new class is sent")
	e.ends <- AttemptEnd{Outcome: policy.OK, Result: []byte("new"), Report: policy.NoReport}
	assert.Equal(t, Answer{Kind: Served, Result: []byte("new")}, answerOf(t, got))
	eventually(t, func() bool {
		n := make(chan int)
		coordinator.do(func() { n <- len(coordinator.mods) })
		return <-n == 1
	})
}

func TestRetuneRefusesSettingsNoModuleTakes(t *testing.T) {
	coordinator, _ := run(t, testSettings())
	set := testSettings()
	set.Classes = nil
	set.Period = -time.Second
	assert.Error(t, coordinator.Retune(set))
}

func eventually(t *testing.T, f func() bool) {
	t.Helper()
	require.Eventually(t, f, 2*time.Second, 5*time.Millisecond)
}
