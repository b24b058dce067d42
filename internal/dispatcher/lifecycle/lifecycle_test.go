package lifecycle

import (
	"testing"

	"github.com/stretchr/testify/assert"
)

// Phases are entered in order and once, and each change is reported.
func TestPhasesFollowEachOther(t *testing.T) {
	var seen []string
	l := New(func(from, to Phase) { seen = append(seen, from.String()+">"+to.String()) })
	assert.Equal(t, Starting, l.Phase())
	assert.NoError(t, l.Until(Serving).Err())

	assert.True(t, l.Advance(Serving))
	assert.Error(t, l.Until(Serving).Err())
	assert.True(t, l.Advance(Draining))
	assert.False(t, l.Advance(Draining), "a second signal must not drain again")
	assert.False(t, l.Advance(Serving), "an earlier phase is not entered again")
	assert.NoError(t, l.Until(Stopped).Err())
	assert.True(t, l.Advance(Stopped))
	assert.Equal(t, []string{"starting>serving", "serving>draining", "draining>stopped"}, seen)
}

// The contexts of skipped phases end too. A value that is no phase is not entered.
func TestSkippedPhaseCountsAsReached(t *testing.T) {
	l := New(nil)
	assert.True(t, l.Advance(Stopped))
	assert.Error(t, l.Until(Draining).Err())
	assert.False(t, l.Advance(Phase(9)))
	assert.Equal(t, "Phase(9)", Phase(9).String())
}
