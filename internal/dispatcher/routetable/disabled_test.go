package routetable

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"ospreypond/internal/dispatcher/maintenance"
	"ospreypond/policy"
)

// A runner taken out is closed to egress and drains for the module whatever the list says next, until it is let
// back in; then it is told as started at that moment, so the module warms it as a cold one.
func TestDisabledRunnerDrainsWhateverTheListSays(t *testing.T) {
	table := New()
	a := Host{Host: "a", Dial: "1.2.3.4:5", Class: "m", Health: "SERVING", BornMs: 7}
	table.Apply(&List{Seq: 1, Full: true, Hosts: []Host{a}})

	told, err := table.Disable("a")
	require.NoError(t, err)
	require.Len(t, told, 1)
	assert.Equal(t, policy.Draining, told[0].State)
	assert.False(t, table.Open("a"), "nothing new goes to it")
	_, ok := table.Lookup("a")
	assert.True(t, ok, "what it holds still ends")

	got := table.Apply(&List{Seq: 2, Full: true, Hosts: []Host{a}}) // discovery says it serves
	assert.Equal(t, policy.Draining, got[0].State)
	assert.False(t, table.Open("a"))
	_, err = table.Disable("a")
	require.NoError(t, err, "a second call out")

	back := time.Unix(1000, 0)
	told, err = table.Enable("a", back)
	require.NoError(t, err)
	require.Len(t, told, 1)
	assert.Equal(t, policy.Ready, told[0].State, "one call back is enough")
	assert.Equal(t, time.Duration(back.UnixNano()), told[0].Started, "it returns cold")
	assert.True(t, table.Open("a"))
	got = table.Apply(&List{Seq: 3, Hosts: []Host{a}})
	assert.Equal(t, time.Duration(back.UnixNano()), got[0].Started, "an older start from discovery does not warm it")

	_, err = table.Disable("nobody")
	assert.ErrorIs(t, err, maintenance.ErrUnknown)
}

// A process that takes over starts with the disabled runners of the one before, before its list names the runner.
func TestDisabledRunnersPassToTheNextProcess(t *testing.T) {
	table := New("a")
	assert.Equal(t, []string{"a"}, table.Disabled())
	got := table.Apply(&List{Seq: 1, Full: true, Hosts: []Host{{Host: "a", Dial: "1.2.3.4:5", Health: "SERVING"}}})
	assert.Equal(t, policy.Draining, got[0].State)
	assert.False(t, table.Open("a"))
}
