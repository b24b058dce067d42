package udp

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"ospreypond/internal/dispatcher/fleet"
	"ospreypond/internal/dispatcher/fleet/packet"
	"ospreypond/internal/dispatcher/fleet/quota"
)

const waitTimeout = 20 * time.Second

// randomLoopback returns a random loopback address with port 0. A port that is free at such an address very likely stays free
// until the test binds it. At 127.0.0.1, a connection of another program could take the port in between.
func randomLoopback() string {
	return fmt.Sprintf("127.%d.%d.%d:0", 1+rand.IntN(254), rand.IntN(256), 1+rand.IntN(254))
}

// freeAddr returns a UDP address to which no socket is bound.
func freeAddr(t *testing.T) string {
	t.Helper()
	var lc net.ListenConfig
	c, err := lc.ListenPacket(t.Context(), "udp4", randomLoopback())
	require.NoError(t, err)
	require.NoError(t, c.Close())
	return c.LocalAddr().String()
}

// member is a node that runs until stop is called.
type member struct {
	*Node
	stop  func()
	mu    sync.Mutex
	owned Ownership
}

// numbers returns the numbers that the member last reported to own.
func (m *member) numbers() []int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.owned.Numbers
}

// run starts a member with a number and its address in the roster.
func run(t *testing.T, name string, number int, roster []string) *member {
	t.Helper()
	codec, err := packet.New("f", []byte("sixteen bytes or more"))
	require.NoError(t, err)
	log := logrus.New()
	log.SetOutput(io.Discard)
	const interval = 50 * time.Millisecond
	m := &member{}
	m.Node = New(Options{Listen: roster[number], Self: fleet.Record{Name: name, Addr: roster[number]}, Codec: codec, Log: log,
		Config: fleet.Config{Interval: interval, Seeds: roster, TrustRefusals: true, Roster: roster,
			Quota: quota.Config{Size: len(roster), Own: number, Lease: 10 * interval, GuardTime: interval}},
		OnOwnership: func(o Ownership) { m.mu.Lock(); m.owned = o; m.mu.Unlock() }})
	ctx, stop := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- m.Run(ctx) }()
	m.stop = sync.OnceFunc(func() {
		stop()
		assert.NoError(t, <-done)
	})
	t.Cleanup(m.stop)
	return m
}

// living returns the number of living members in m's view, or 0 if m has no view yet.
func living(m *member) int {
	if v := m.View(); v != nil {
		return v.Living
	}
	return 0
}

// On real sockets: members join. Invalid datagrams are counted and otherwise ignored. A later process at the same address
// waits for the socket and then owns the number. When a socket is closed, its number passes to the other member, and passes
// back to the next process at the address.
func TestNumbersFollowSockets(t *testing.T) {
	roster := []string{freeAddr(t), freeAddr(t)}
	a, b := run(t, "a", 0, roster), run(t, "b", 1, roster)
	eventually := func(what string, ok func() bool) {
		t.Helper()
		require.Eventually(t, ok, waitTimeout, 10*time.Millisecond, what)
	}
	eventually("both have joined", func() bool { return living(a) == 2 && living(b) == 2 })
	eventually("each owns its number", func() bool { return len(a.numbers()) == 1 && len(b.numbers()) == 1 })

	var dialer net.Dialer
	noise, err := dialer.DialContext(t.Context(), "udp4", roster[0])
	require.NoError(t, err)
	t.Cleanup(func() { assert.NoError(t, noise.Close()) })
	for _, d := range []string{"", "x", strings.Repeat("y", 1401), "\x01\x01g" + strings.Repeat("z", 40), "\x01\x01f" + strings.Repeat("z", 40)} {
		_, err := noise.Write([]byte(d))
		require.NoError(t, err)
	}
	eventually("invalid datagrams are counted by reason", func() bool {
		d := a.View().Dropped
		return d[string(packet.TooLong)] == 1 && d[string(packet.Foreign)] == 1 && d[string(packet.Forged)] == 1 && d[string(packet.Malformed)] == 2
	})

	upgraded := run(t, "b", 1, roster) // an upgrade in place: the earlier process still has the socket
	time.Sleep(4 * bindRetryInterval)
	assert.Nil(t, upgraded.View())
	assert.Empty(t, upgraded.numbers())
	b.stop()
	assert.Empty(t, b.numbers(), "a member that leaves owns nothing before its socket closes")
	eventually("the new process takes part", func() bool { return living(upgraded) == 2 })
	eventually("the new process owns its number", func() bool { return len(upgraded.numbers()) == 1 })

	upgraded.stop()
	eventually("the number of the member that ended passes to the other one", func() bool { return len(a.numbers()) == 2 })
	assert.Equal(t, 1, living(a))
	last := run(t, "b", 1, roster)
	eventually("the number passes back to the new process", func() bool { return len(a.numbers()) == 1 && len(last.numbers()) == 1 })
}

// Run returns an error that names the address if the address belongs to another machine.
func TestAddressOfAnotherMachine(t *testing.T) {
	codec, err := packet.New("f", []byte("sixteen bytes or more"))
	require.NoError(t, err)
	n := New(Options{Listen: "192.0.2.1:9", Self: fleet.Record{Name: "a", Addr: "192.0.2.1:9"}, Codec: codec, Config: fleet.Config{Interval: time.Second}, Log: logrus.New()})
	assert.ErrorContains(t, n.Run(context.Background()), "192.0.2.1")
}
