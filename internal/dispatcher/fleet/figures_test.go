package fleet_test

import (
	"flag"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"ospreypond/internal/dispatcher/fleet"
	"ospreypond/internal/dispatcher/fleet/packet"
	"ospreypond/internal/dispatcher/fleet/quota"
	"ospreypond/internal/dispatcher/fleet/virtual"
)

var (
	figures = flag.Bool("figures", false, "measure the figures in docs/view.md; takes minutes")
	largest = flag.Int("most", 1000, "the largest fleet to measure")
)

// TestFigures measures the figures in docs/view.md, in multiples of the probe interval.
func TestFigures(t *testing.T) {
	if !*figures {
		t.Skip("-figures is not set")
	}
	codec, err := packet.New("pagos-mercados", []byte("sixteen bytes or more"))
	require.NoError(t, err)
	for _, n := range []int{3, 30, 300, 1000} {
		if n > *largest {
			break
		}
		for _, loss := range []float64{0, 0.05, 0.2} {
			t.Run("", func(t *testing.T) { t.Parallel(); measureCalm(t, codec, n, loss) })
		}
		t.Run("", func(t *testing.T) { t.Parallel(); measureDeaths(t, n) })
	}
}

// measureCalm measures the time until views agree after joins, a crash and a partition, and a member's traffic without
// events.
func measureCalm(t *testing.T, codec *packet.Codec, n int, loss float64) {
	t.Helper()
	opt := options(uint64(n))
	maxSize := 0
	opt.Size = func(p *fleet.Packet) int {
		d, err := codec.Encode(p)
		require.NoError(t, err)
		maxSize = max(maxSize, len(d))
		return len(d)
	}
	bad := func(time.Duration, *virtual.Node, *virtual.Node) virtual.Link { return virtual.Link{Loss: loss} }
	opt.Link = bad
	w := virtual.New(n, opt)
	for _, node := range w.Nodes {
		require.NoError(t, w.Start(node))
	}
	line := fmt.Sprintf("%4d members, %2.0f%% lost: ", n, 100*loss)
	until := func(what string) {
		took, ok := w.Until(tick/4, 400*tick, func() bool { return w.Agree() })
		line += fmt.Sprintf("%s %.1f", what, float64(took)/float64(tick))
		if !ok {
			line += " (not)"
		}
		line += ", "
	}
	until("all at once")
	w.For(40 * tick)
	line += measureTraffic(w, loss)
	w.Kill(w.Nodes[n-1])
	until("crash")
	require.NoError(t, w.Start(w.Nodes[n-1]))
	until("join")
	w.Links(func(_ time.Duration, a, b *virtual.Node) virtual.Link {
		return virtual.Link{Loss: loss, Down: (a.Number < n/2) != (b.Number < n/2)}
	})
	w.For(240 * tick)
	w.Links(bad)
	until("equal after a partition in two")
	fmt.Printf("%slargest datagram %d bytes\n", line, maxSize)
}

// measureTraffic measures each member's traffic and CPU time in an hour (of the fleet's time) without events. For large
// fleets or high loss it measures an eighth of an hour, as a full hour takes too long.
func measureTraffic(w *virtual.World, loss float64) string {
	n, intervals := len(w.Nodes), 7200
	if n > 300 || loss > 0.1 {
		intervals /= 8
	}
	since, began := w.Now, time.Now()
	var datagrams, bytes int64
	for _, node := range w.Nodes {
		datagrams, bytes = datagrams-node.Datagrams, bytes-node.Bytes
	}
	w.For(time.Duration(intervals) * tick)
	cpu := time.Since(began)
	for _, node := range w.Nodes {
		datagrams, bytes = datagrams+node.Datagrams, bytes+node.Bytes
	}
	each := float64(n) * float64(intervals) * tick.Seconds()
	return fmt.Sprintf("%.2f datagrams, %.0f bytes, %.0f us of CPU (coding and the world included) a member and second, %d suspected and %d declared dead in %.2f h of the fleet, ",
		float64(datagrams)/each, float64(bytes)/each, float64(cpu.Microseconds())/each, count(w, fleet.Suspected, since)/n, count(w, fleet.Died, since), float64(intervals)*tick.Hours())
}

// measureDeaths measures how soon the numbers of many dead members are owned by living ones.
func measureDeaths(t *testing.T, n int) {
	t.Helper()
	opt := options(uint64(n))
	opt.Config.TrustRefusals = true
	opt.Config.Quota = quota.Config{Size: n, Lease: 15 * tick, GuardTime: 2 * tick}
	w := virtual.New(n, opt)
	for _, node := range w.Nodes {
		require.NoError(t, w.Start(node))
	}
	w.For(60 * tick)
	for _, node := range w.Nodes[:n*7/10] {
		w.Kill(node)
	}
	line, began := fmt.Sprintf("%4d members, seven in ten killed, refusals trusted: numbers owned ", n), w.Now
	for _, at := range []int{2, 5, 10, 15, 20, 30, 40} {
		w.Run(began + time.Duration(at)*tick)
		used := 0
		for _, node := range w.Running() {
			used += len(node.Core.Numbers(w.Now))
		}
		line += fmt.Sprintf("%d%% after %d, ", 100*used/n, at)
	}
	fmt.Println(line + "intervals")
}
