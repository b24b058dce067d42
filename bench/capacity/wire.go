package main

import (
	"bytes"
	"encoding/gob"
	"fmt"
	"time"

	"github.com/spf13/cobra"

	"ospreypond/internal/cluster/protocol"
)

// wireCommand measures what a message costs on a link that is in use already.
func wireCommand() *cobra.Command {
	return &cobra.Command{Use: "wire", Short: "Bytes and processor time of a message: written, and read again", Args: cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			t := table{[]string{"message", "bytes", "µs to write and read"}}
			t.begin()
			for _, runs := range []int{0, 6, 20} {
				r := busyRunner(runs)
				if err := measureWire(&t, fmt.Sprintf("heartbeat with %d runs", runs),
					&protocol.HeartbeatRequest{Shard: 1, Heartbeat: *r.report(time.Minute)}); err != nil {
					return err
				}
			}
			orders := protocol.Orders{HoldMs: 5990, LastSeen: 123456, FenceToken: 7, RetryDelayMs: 100}
			if err := measureWire(&t, "answer without orders", &protocol.HeartbeatResponse{Orders: orders}); err != nil {
				return err
			}
			orders.Start = []protocol.StartOrder{{Task: jobName(77) + ".0.0.17", Run: 1, Spec: specText}}
			if err := measureWire(&t, "answer with a start", &protocol.HeartbeatResponse{Orders: orders}); err != nil {
				return err
			}
			if err := measureWire(&t, "watch", &protocol.WatchRequest{Version: 14_000, Owners: 1 << 60, WaitMs: 1000, Node: "side-1",
				Changes: true}); err != nil {
				return err
			}
			return measureWire(&t, "answer to a watch without news", &protocol.WatchResponse{Version: 14_000, OwnersAt: 1 << 60})
		}}
}

func busyRunner(runs int) *hollowRunner {
	r := newHollowRunner(77, serviceName(0), time.Hour)
	orders := &protocol.Orders{}
	for i := range runs {
		orders.Start = append(orders.Start, protocol.StartOrder{Task: jobName(i) + ".0.0.17", Run: 1})
	}
	r.obey(0, orders)
	return r
}

func measureWire[T any](t *table, name string, message *T) error {
	const count = 20_000
	var link bytes.Buffer
	encoder, decoder := gob.NewEncoder(&link), gob.NewDecoder(&link)
	size := 0
	var used time.Duration
	for i := range count + 1 {
		if i == 1 {
			used = processorTime() // the first message brings its type along
		}
		if err := encoder.Encode(message); err != nil {
			return err
		}
		size = link.Len()
		var read T
		if err := decoder.Decode(&read); err != nil {
			return err
		}
	}
	t.row(name, size, microseconds(processorTime()-used, count))
	return nil
}
