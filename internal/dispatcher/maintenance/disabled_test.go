package maintenance

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

func TestOneEnableUndoesTwoDisables(t *testing.T) {
	d := New(nil)
	require.NoError(t, d.Disable("s-1", true))
	require.NoError(t, d.Disable("s-1", true))
	assert.True(t, d.Has("s-1"))
	enabled, err := d.Enable("s-1", true, 5*time.Second)
	require.NoError(t, err)
	assert.True(t, enabled)
	assert.False(t, d.Has("s-1"))
}

func TestUnknownIDsAreRefused(t *testing.T) {
	d := New(nil)
	assert.ErrorIs(t, d.Disable("s-404", false), ErrUnknownRunner)
	_, err := d.Enable("s-404", false, 0)
	assert.ErrorIs(t, err, ErrUnknownRunner)
	assert.False(t, d.Has("s-404"))
	assert.Empty(t, d.Names())
}

func TestDisabledRunnerMayLeaveTheList(t *testing.T) {
	d := New(nil)
	require.NoError(t, d.Disable("s-1", true))
	// The runner was removed from the list meanwhile: it stays disabled, and can be enabled.
	require.NoError(t, d.Disable("s-1", false))
	assert.True(t, d.Has("s-1"))
	enabled, err := d.Enable("s-1", false, time.Second)
	require.NoError(t, err)
	assert.True(t, enabled)
}

func TestEnablingAnEnabledRunnerChangesNothing(t *testing.T) {
	d := New(nil)
	enabled, err := d.Enable("s-1", true, time.Second)
	require.NoError(t, err)
	assert.False(t, enabled)
	assert.Equal(t, 3*time.Second, d.Started("s-1", 3*time.Second), "it was never disabled, so it does not warm up")
}

func TestEnabledRunnerCountsAsStartedNow(t *testing.T) {
	d := New(nil)
	require.NoError(t, d.Disable("s-1", true))
	_, err := d.Enable("s-1", true, 100*time.Second)
	require.NoError(t, err)
	assert.Equal(t, 100*time.Second, d.Started("s-1", 0), "a start from discovery before Enable does not count")
	assert.Equal(t, 120*time.Second, d.Started("s-1", 120*time.Second), "a later one does")
}

func TestDisabledRunnersPassToTheNextProcess(t *testing.T) {
	d := New(nil)
	require.NoError(t, d.Disable("s-2", true))
	require.NoError(t, d.Disable("s-1", true))
	next := New(d.Names())
	assert.Equal(t, []string{"s-1", "s-2"}, next.Names())
	assert.True(t, next.Has("s-1"))
	enabled, err := next.Enable("s-1", false, time.Second)
	require.NoError(t, err)
	assert.True(t, enabled, "the next process enables a runner that it took over as disabled, even before its list names the runner")
}
