package coordinator

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"ospreypond/policy"
)

// New settings don't apply to open requests, which keep their class and their limit of attempts. New requests get them
// at once. The former module is dropped when its requests have ended.
func TestUpdateSettingsKeepsOpenRequests(t *testing.T) {
	coordinator, e := run(t, testSettings())
	old := submit(context.Background(), coordinator, request(time.Minute))
	assert.Equal(t, "w", (<-e.attempts).Target)

	set := testSettings()
	set.MaxAttempts = 1
	set.Classes[0].Name = "d" // "c" is removed, "d" is new
	require.NoError(t, coordinator.UpdateSettings(set))
	fresh := request(time.Minute)
	fresh.ID, fresh.Class = "fresh", "d"
	eventually(t, func() bool {
		n := make(chan int)
		coordinator.enqueue(func() { n <- len(coordinator.modules) })
		return <-n == 2
	})
	// The open request's first attempt is rejected. Its own settings allow another attempt. The new settings allow only
	// one attempt and don't have class "c".
	e.ends <- AttemptEnd{Outcome: policy.Full, Report: policy.NoReport}
	retry := <-e.attempts
	assert.Equal(t, "r", retry.Request.ID)
	e.ends <- AttemptEnd{Outcome: policy.OK, Result: []byte("old"), Report: policy.NoReport}
	assert.Equal(t, Response{Kind: Served, Result: []byte("old")}, receiveResponse(t, old))

	got := submit(context.Background(), coordinator, fresh)
	assert.Equal(t, "fresh", (<-e.attempts).Request.ID, "a request of the new class must be sent")
	e.ends <- AttemptEnd{Outcome: policy.OK, Result: []byte("new"), Report: policy.NoReport}
	assert.Equal(t, Response{Kind: Served, Result: []byte("new")}, receiveResponse(t, got))
	eventually(t, func() bool {
		n := make(chan int)
		coordinator.enqueue(func() { n <- len(coordinator.modules) })
		return <-n == 1
	})
}

func TestUpdateSettingsRefusesInvalidSettings(t *testing.T) {
	coordinator, _ := run(t, testSettings())
	set := testSettings()
	set.Classes = nil
	set.MinStepInterval = -time.Second
	assert.Error(t, coordinator.UpdateSettings(set))
}

func eventually(t *testing.T, f func() bool) {
	t.Helper()
	require.Eventually(t, f, 2*time.Second, 5*time.Millisecond)
}
