package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"os/exec"
	"runtime"
	"strconv"
	"sync"
	"time"

	"github.com/spf13/cobra"

	"ospreypond/internal/cluster/protocol"
	"ospreypond/internal/cluster/transport"
)

const (
	beatsEach   = 40 // heartbeats on each connection
	connecting  = 64 // connections that are made at once
	callTimeout = 20 * time.Second
)

// linksCommand measures what connections weigh at a process that many machines call. The callers are a process of its
// own, over loopback; it is the one measurement with sockets.
func linksCommand() *cobra.Command {
	var sizes []int
	command := &cobra.Command{Use: "links", Short: "Memory and processor time of many machines' connections", Args: cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			t := table{[]string{"connections", "heap KB each", "stacks KB each", "all from the system KB each", "µs a heartbeat",
				"failed calls"}}
			t.begin()
			for _, size := range sizes {
				if err := measureLinks(&t, size); err != nil {
					return err
				}
			}
			return nil
		}}
	command.Flags().IntSliceVar(&sizes, "connections", []int{300, 1000, 3000}, "sizes to measure")
	return command
}

func dialCommand() *cobra.Command {
	return &cobra.Command{Use: "dial ADDRESS COUNT", Hidden: true, Args: cobra.ExactArgs(2),
		RunE: func(_ *cobra.Command, args []string) error {
			count, err := strconv.Atoi(args[1])
			if err != nil {
				return err
			}
			fmt.Println(dial(args[0], count))
			_, err = io.Copy(io.Discard, os.Stdin) // the connections stand until the caller has looked
			return err
		}}
}

// dial calls from so many machines, and returns how many calls failed.
func dial(address string, count int) (failed int) {
	var mutex sync.Mutex
	var waiting sync.WaitGroup
	turns := make(chan struct{}, connecting)
	request := &protocol.HeartbeatRequest{Shard: 1, Heartbeat: *busyRunner(targetTasks/targetRunners + 1).report(time.Minute)}
	for range count {
		client := transport.NewClient(transport.ClientOptions{})
		waiting.Add(1)
		go func() {
			defer waiting.Done()
			turns <- struct{}{}
			defer func() { <-turns }()
			for range beatsEach {
				ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
				_, err := transport.Call[protocol.HeartbeatRequest, protocol.HeartbeatResponse](ctx, client, address, request)
				cancel()
				if err != nil {
					mutex.Lock()
					failed++
					mutex.Unlock()
				}
			}
		}()
	}
	waiting.Wait()
	return failed
}

func measureLinks(t *table, connections int) error {
	server := transport.NewServer(transport.Options{MaxConnections: connections + connecting})
	orders := protocol.Orders{HoldMs: 5990, LastSeen: 123456, FenceToken: 7, RetryDelayMs: 100}
	transport.HandleAsync(server, func(_ string, _ *protocol.HeartbeatRequest, reply func(*protocol.HeartbeatResponse, error)) {
		reply(&protocol.HeartbeatResponse{Orders: orders}, nil)
	})
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	listener, err := transport.Listen(ctx, "127.0.0.1:0")
	if err != nil {
		return err
	}
	defer server.Close()
	go server.Serve(ctx, listener)
	before, used := memory(), processorTime()
	callers := exec.Command("/proc/self/exe", "dial", listener.Addr().String(), strconv.Itoa(connections))
	callers.Stderr = os.Stderr
	end, err := callers.StdinPipe()
	if err != nil {
		return err
	}
	output, err := callers.StdoutPipe()
	if err != nil {
		return err
	}
	if err := callers.Start(); err != nil {
		return err
	}
	failed := 0
	_, scanning := fmt.Fscan(output, &failed)
	spent, after := processorTime()-used, memory()
	each := func(now, then uint64) float64 { return (float64(now) - float64(then)) / 1e3 / float64(connections) }
	t.row(connections, each(after.HeapAlloc, before.HeapAlloc), each(after.StackInuse, before.StackInuse),
		each(after.Sys-after.HeapReleased, before.Sys-before.HeapReleased), microseconds(spent, connections*beatsEach), failed)
	return errors.Join(scanning, end.Close(), callers.Wait())
}

func memory() runtime.MemStats {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats
}
