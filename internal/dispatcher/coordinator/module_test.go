package coordinator

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"ospreypond/policy"
)

// After new settings an open request keeps its class and its limit of attempts, a new one is decided on by the new
// settings at once, and the former module is dropped when its requests have ended.
func TestRetuneKeepsOpenRequests(t *testing.T) {
	coordinator, e := run(t, testSettings())
	old := submit(context.Background(), coordinator, request(time.Minute))
	assert.Equal(t, "w", (<-e.attempts).Target)

	set := testSettings()
	set.MaxAttempts = 1
	set.Classes[0].Name = "d" // "c" is removed, "d" is new
	require.NoError(t, coordinator.Retune(set))
	fresh := request(time.Minute)
	fresh.ID, fresh.Class = "fresh", "d"
	eventually(t, func() bool {
		n := make(chan int)
		coordinator.enqueue(func() { n <- len(coordinator.modules) })
		return <-n == 2
	})
	// The open request's first attempt was rejected: by its own settings another may follow, though the new ones
	// allow one attempt only and have no class "c".
	e.ends <- AttemptEnd{Outcome: policy.Full, Report: policy.NoReport}
	retry := <-e.attempts
	assert.Equal(t, "r", retry.Request.ID)
	e.ends <- AttemptEnd{Outcome: policy.OK, Result: []byte("old"), Report: policy.NoReport}
	assert.Equal(t, Response{Kind: Served, Result: []byte("old")}, receiveResponse(t, old))

	got := submit(context.Background(), coordinator, fresh)
	assert.Equal(t, "fresh", (<-e.attempts).Request.ID, "a request of the new class is sent")
	e.ends <- AttemptEnd{Outcome: policy.OK, Result: []byte("new"), Report: policy.NoReport}
	assert.Equal(t, Response{Kind: Served, Result: []byte("new")}, receiveResponse(t, got))
	eventually(t, func() bool {
		n := make(chan int)
		coordinator.enqueue(func() { n <- len(coordinator.modules) })
		return <-n == 1
	})
}

func TestRetuneRefusesInvalidSettings(t *testing.T) {
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
