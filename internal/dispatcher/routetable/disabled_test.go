package routetable

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"ospreypond/internal/dispatcher/maintenance"
	"ospreypond/policy"
)

// A disabled runner is closed to egress and drains for the module whatever the list says, until it is enabled. Then
// the module sees it as started at that time, so that it warms up.
func TestDisabledRunnerDrainsWhateverTheListSays(t *testing.T) {
	table := New()
	a := Host{Host: "a", Dial: "1.2.3.4:5", Class: "m", Health: "SERVING", BornMs: 7}
	table.Apply(&List{Seq: 1, Full: true, Hosts: []Host{a}})

	members, err := table.Disable("a")
	require.NoError(t, err)
	require.Len(t, members, 1)
	assert.Equal(t, policy.Draining, members[0].State)
	assert.False(t, table.Open("a"), "it gets nothing new")
	_, ok := table.Lookup("a")
	assert.True(t, ok, "its attempts still end")

	got := table.Apply(&List{Seq: 2, Full: true, Hosts: []Host{a}}) // discovery says it serves
	assert.Equal(t, policy.Draining, got[0].State)
	assert.False(t, table.Open("a"))
	_, err = table.Disable("a")
	require.NoError(t, err, "a second Disable")

	back := time.Unix(1000, 0)
	members, err = table.Enable("a", back)
	require.NoError(t, err)
	require.Len(t, members, 1)
	assert.Equal(t, policy.Ready, members[0].State, "one Enable is enough")
	assert.Equal(t, time.Duration(back.UnixNano()), members[0].Started, "it warms up")
	assert.True(t, table.Open("a"))
	got = table.Apply(&List{Seq: 3, Hosts: []Host{a}})
	assert.Equal(t, time.Duration(back.UnixNano()), got[0].Started, "an older start from discovery does not change that")

	_, err = table.Disable("nobody")
	assert.ErrorIs(t, err, maintenance.ErrUnknownRunner)
}

// A process starts with the disabled runners of its predecessor, before its list names the runner.
func TestDisabledRunnersPassToTheNextProcess(t *testing.T) {
	table := New("a")
	assert.Equal(t, []string{"a"}, table.Disabled())
	got := table.Apply(&List{Seq: 1, Full: true, Hosts: []Host{{Host: "a", Dial: "1.2.3.4:5", Health: "SERVING"}}})
	assert.Equal(t, policy.Draining, got[0].State)
	assert.False(t, table.Open("a"))
}
