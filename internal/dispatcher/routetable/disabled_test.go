package routetable

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"ospreypond/internal/dispatcher/maintenance"
	"ospreypond/policy"
)

// Until it is enabled, a disabled runner is not open for egress, and the decision module sees it as draining, whatever
// discovery lists. When it is enabled the module sees it as started at that time, so that it warms up.
func TestDisabledRunnerDrainsWhateverTheListSays(t *testing.T) {
	table := New()
	a := Host{Host: "a", Dial: "1.2.3.4:5", Class: "m", Health: "SERVING", BornMs: 7}
	table.Apply(&List{Seq: 1, Full: true, Hosts: []Host{a}})

	members, err := table.Disable("a")
	require.NoError(t, err)
	require.Len(t, members, 1)
	assert.Equal(t, policy.Draining, members[0].State)
	assert.False(t, table.Open("a"), "it gets no new requests")
	_, ok := table.Lookup("a")
	assert.True(t, ok, "its attempts in flight still end")

	got := table.Apply(&List{Seq: 2, Full: true, Hosts: []Host{a}}) // discovery lists it as serving
	assert.Equal(t, policy.Draining, got[0].State)
	assert.False(t, table.Open("a"))
	_, err = table.Disable("a")
	require.NoError(t, err, "a second Disable is allowed")

	back := time.Unix(1000, 0)
	members, err = table.Enable("a", back)
	require.NoError(t, err)
	require.Len(t, members, 1)
	assert.Equal(t, policy.Ready, members[0].State, "one Enable is enough")
	assert.Equal(t, time.Duration(back.UnixNano()), members[0].Started, "it warms up")
	assert.True(t, table.Open("a"))
	got = table.Apply(&List{Seq: 3, Hosts: []Host{a}})
	assert.Equal(t, time.Duration(back.UnixNano()), got[0].Started, "an earlier start in discovery's list does not change that")

	_, err = table.Disable("nobody")
	assert.ErrorIs(t, err, maintenance.ErrUnknownRunner)
}

// A process starts with the runners that its predecessor had disabled, even before its own list names them.
func TestDisabledRunnersPassToTheNextProcess(t *testing.T) {
	table := New("a")
	assert.Equal(t, []string{"a"}, table.Disabled())
	got := table.Apply(&List{Seq: 1, Full: true, Hosts: []Host{{Host: "a", Dial: "1.2.3.4:5", Health: "SERVING"}}})
	assert.Equal(t, policy.Draining, got[0].State)
	assert.False(t, table.Open("a"))
}
