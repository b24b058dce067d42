package maintenance

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

func TestTwoCallsOutNeedOneCallBack(t *testing.T) {
	b := New(nil)
	require.NoError(t, b.Disable("s-1", true))
	require.NoError(t, b.Disable("s-1", true))
	assert.True(t, b.Banned("s-1"))
	lifted, err := b.Enable("s-1", true, 5*time.Second)
	require.NoError(t, err)
	assert.True(t, lifted)
	assert.False(t, b.Banned("s-1"))
}

func TestIDsThatNobodyHasAreOwedANo(t *testing.T) {
	b := New(nil)
	assert.ErrorIs(t, b.Disable("s-404", false), ErrUnknown)
	_, err := b.Enable("s-404", false, 0)
	assert.ErrorIs(t, err, ErrUnknown)
	assert.False(t, b.Banned("s-404"))
	assert.Empty(t, b.Held())
}

func TestABanOutlastsTheList(t *testing.T) {
	b := New(nil)
	require.NoError(t, b.Disable("s-1", true))
	// The runner left the list meanwhile: the ban still holds, and may still be lifted.
	require.NoError(t, b.Disable("s-1", false))
	assert.True(t, b.Banned("s-1"))
	lifted, err := b.Enable("s-1", false, time.Second)
	require.NoError(t, err)
	assert.True(t, lifted)
}

func TestEnablingOneThatIsInIsAYesAndChangesNothing(t *testing.T) {
	b := New(nil)
	lifted, err := b.Enable("s-1", true, time.Second)
	require.NoError(t, err)
	assert.False(t, lifted)
	assert.Equal(t, 3*time.Second, b.Started("s-1", 3*time.Second), "it was never out, so it is not cold")
}

func TestOneLetBackInStartsCold(t *testing.T) {
	b := New(nil)
	require.NoError(t, b.Disable("s-1", true))
	_, err := b.Enable("s-1", true, 100*time.Second)
	require.NoError(t, err)
	assert.Equal(t, 100*time.Second, b.Started("s-1", 0), "an old start from discovery is older than the return")
	assert.Equal(t, 120*time.Second, b.Started("s-1", 120*time.Second), "a later start from discovery wins")
}

func TestBansAreHandedOn(t *testing.T) {
	b := New(nil)
	require.NoError(t, b.Disable("s-2", true))
	require.NoError(t, b.Disable("s-1", true))
	next := New(b.Held())
	assert.Equal(t, []string{"s-1", "s-2"}, next.Held())
	assert.True(t, next.Banned("s-1"))
	lifted, err := next.Enable("s-1", false, time.Second)
	require.NoError(t, err)
	assert.True(t, lifted, "the next process lifts a ban that it took over, even before its list names the runner")
}
