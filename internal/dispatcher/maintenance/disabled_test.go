package maintenance

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// One Enable undoes any number of Disable calls.
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

// An id that is neither listed nor disabled can be neither disabled nor enabled.
func TestUnknownIDsAreRefused(t *testing.T) {
	d := New(nil)
	assert.ErrorIs(t, d.Disable("s-404", false), ErrUnknownRunner)
	_, err := d.Enable("s-404", false, 0)
	assert.ErrorIs(t, err, ErrUnknownRunner)
	assert.False(t, d.Has("s-404"))
	assert.Empty(t, d.Names())
}

// A disabled runner stays known after it was removed from discovery's list.
func TestDisabledRunnerMayLeaveTheList(t *testing.T) {
	d := New(nil)
	require.NoError(t, d.Disable("s-1", true))
	// The list no longer names the runner. It stays disabled, and can be disabled again and enabled.
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
	assert.Equal(t, 3*time.Second, d.Started("s-1", 3*time.Second), "a runner that was never disabled does not warm up")
}

// The start time of an enabled runner is the time of Enable, unless its listed start is later.
func TestEnabledRunnerCountsAsStartedNow(t *testing.T) {
	d := New(nil)
	require.NoError(t, d.Disable("s-1", true))
	_, err := d.Enable("s-1", true, 100*time.Second)
	require.NoError(t, err)
	assert.Equal(t, 100*time.Second, d.Started("s-1", 0), "a start in discovery's list before Enable does not count")
	assert.Equal(t, 120*time.Second, d.Started("s-1", 120*time.Second), "a start after Enable counts")
}

// The next process of a dispatcher starts with the runners that this one has disabled.
func TestDisabledRunnersPassToTheNextProcess(t *testing.T) {
	d := New(nil)
	require.NoError(t, d.Disable("s-2", true))
	require.NoError(t, d.Disable("s-1", true))
	next := New(d.Names())
	assert.Equal(t, []string{"s-1", "s-2"}, next.Names())
	assert.True(t, next.Has("s-1"))
	enabled, err := next.Enable("s-1", false, time.Second)
	require.NoError(t, err)
	assert.True(t, enabled, "the next process can enable the runner even before its own list names it")
}
