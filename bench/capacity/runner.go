package main

import (
	"fmt"
	"time"

	"ospreypond/internal/cluster/protocol"
)

// The machines of hollow runners.
const (
	runnersPerRack = 16
	gpuEvery       = 11 // of so many runners in a row, gpuOf have accelerators: 13,000 on 8,900 runners
	gpuOf          = 2
	gpus           = 8
)

// hollowRunner answers orders as a runner does, and runs nothing: its runs end when their time is over.
type hollowRunner struct {
	beat     protocol.Heartbeat
	ends     []time.Duration // of the runs in beat.Active
	next     uint64          // N of the next end
	fullTime time.Duration   // of a run
}

func newHollowRunner(number int, service string, fullTime time.Duration) *hollowRunner {
	r := &hollowRunner{fullTime: fullTime}
	capacity := protocol.Resources{CPU: 16_000, MemoryMB: 64 << 10}
	if number%gpuEvery < gpuOf {
		capacity.GPU = gpus
	}
	r.beat = protocol.Heartbeat{
		Instance: fmt.Sprintf("i-%08x", number),
		Service:  service,
		Address:  fmt.Sprintf("10.%d.%d.9:8080", number>>8, number&0xff),
		Zone:     fmt.Sprintf("zone-%d", number%14),
		Version:  "v1",
		Slots:    8,
		State:    protocol.Ready,
		Capacity: capacity,
		Labels:   []string{string(rune('a' + number%3)), fmt.Sprintf("r-%d", number/runnersPerRack)},
	}
	return r
}

// report makes the next heartbeat. The owner keeps it, so its lists are new.
func (r *hollowRunner) report(now time.Duration) *protocol.Heartbeat {
	r.finish(now)
	r.beat.Sequence++
	r.beat.ClockMs = now.Milliseconds()
	beat := r.beat
	beat.Active = append([]protocol.ActiveRun(nil), r.beat.Active...)
	for i := range beat.Active {
		left := r.ends[i] - now
		beat.Active[i].Percent = 100 * (1 - left.Seconds()/r.fullTime.Seconds())
	}
	beat.Finished = append([]protocol.FinishedRun(nil), r.beat.Finished...)
	return &beat
}

// finish ends what is over.
func (r *hollowRunner) finish(now time.Duration) {
	kept := 0
	for i := range r.beat.Active {
		if r.ends[i] <= now {
			r.end(i, protocol.EndDone)
			continue
		}
		r.beat.Active[kept], r.ends[kept] = r.beat.Active[i], r.ends[i]
		kept++
	}
	r.beat.Active, r.ends = r.beat.Active[:kept], r.ends[:kept]
}

func (r *hollowRunner) end(i int, how string) {
	r.next++
	run := &r.beat.Active[i]
	r.beat.Finished = append(r.beat.Finished, protocol.FinishedRun{N: r.next, Task: run.Task, Run: run.Run, How: how, Saved: run.Saved})
}

// obey carries out the orders of an answer.
func (r *hollowRunner) obey(now time.Duration, orders *protocol.Orders) {
	seen := 0
	for seen < len(r.beat.Finished) && r.beat.Finished[seen].N <= orders.LastSeen {
		seen++
	}
	r.beat.Finished = r.beat.Finished[:copy(r.beat.Finished, r.beat.Finished[seen:])]
	for _, stop := range orders.Stop {
		for i := range r.beat.Active {
			if r.beat.Active[i].Task == stop.Task {
				r.ends[i] = now
			}
		}
	}
	for _, start := range orders.Start {
		r.beat.Active = append(r.beat.Active, protocol.ActiveRun{Task: start.Task, Run: start.Run, Saved: start.Saved})
		r.ends = append(r.ends, now+r.fullTime)
	}
}
