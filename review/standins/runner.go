package main

import (
	"encoding/json"
	"fmt"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// run is a run of a task on a runner.
type run struct {
	task     string
	number   uint64
	began    time.Time
	work     time.Duration
	stopping bool
}

type end struct {
	n    uint64
	task string
	run  uint64
	how  string
}

// start is a task that a runner has begun on an order.
type start struct {
	at     time.Duration
	runner string
	task   string
	number uint64
}

// world is what the runners have seen, for the check.
type world struct {
	record *record
	mutex  sync.Mutex
	starts []start
	ends   []struct {
		at time.Duration
		end
		runner string
	}
}

// runner is a stand-in for a runner that gets its orders in the answers to its heartbeats.
type runner struct {
	world          *world
	id, service    string
	address, agent string // its own address, and the control address of its machine's agent
	zone           string
	labels         []string
	cpu            int
	mutex          sync.Mutex
	active         map[string]*run
	floor          map[string]uint64 // by task: the highest run that was stopped or has ended here
	finished       []end
	nextEnd        uint64
	fence          uint64
	sequence       uint64
	holdUntil      time.Time
	wake           chan struct{}
	closed         chan struct{}
	refused        int // status of the last answer, if that was no 200
	workOf         func(spec string) time.Duration
}

func newRunner(w *world, id, service, address, agent, zone string, labels []string) *runner {
	return &runner{world: w, id: id, service: service, address: address, agent: agent, zone: zone, labels: labels, cpu: 16000,
		active: map[string]*run{}, floor: map[string]uint64{}, wake: make(chan struct{}, 1), closed: make(chan struct{}), workOf: workOf}
}

// workOf reads the time that a task takes from its spec, "work 1500" for 1.5 s.
func workOf(spec string) time.Duration {
	ms, err := strconv.Atoi(strings.TrimPrefix(strings.Fields(spec + " x x")[1], "x"))
	if err != nil {
		ms = 500
	}
	return time.Duration(ms) * time.Millisecond
}

// work advances the runs: ends those that are done, and all when the hold is over.
func (r *runner) work() {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	now := time.Now()
	lapsed := now.After(r.holdUntil)
	for _, each := range r.sorted() {
		switch {
		case lapsed:
			r.finish(each, "lapsed")
		case !each.stopping && now.Sub(each.began) >= each.work:
			r.finish(each, "done")
		}
	}
}

func (r *runner) sorted() []*run {
	var all []*run
	for _, each := range r.active {
		all = append(all, each)
	}
	sort.Slice(all, func(i, j int) bool { return all[i].task < all[j].task })
	return all
}

func (r *runner) finish(each *run, how string) {
	delete(r.active, each.task)
	r.floor[each.task] = max(r.floor[each.task], each.number)
	r.nextEnd++
	r.finished = append(r.finished, end{r.nextEnd, each.task, each.number, how})
	r.world.record.log("%s: end %d of %s run %d: %s", r.id, r.nextEnd, each.task, each.number, how)
	r.world.mutex.Lock()
	r.world.ends = append(r.world.ends, struct {
		at time.Duration
		end
		runner string
	}{r.world.record.at(), r.finished[len(r.finished)-1], r.id})
	r.world.mutex.Unlock()
	select {
	case r.wake <- struct{}{}:
	default:
	}
}

func (r *runner) beat() (body string) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.sequence++
	active, finished := [][]any{}, [][]any{}
	for _, each := range r.sorted() {
		percent := 100 * time.Since(each.began).Seconds() / max(each.work.Seconds(), 0.001)
		active = append(active, []any{each.task, each.number, "", min(int(percent), 99)})
	}
	for _, e := range r.finished[:min(len(r.finished), 500)] {
		finished = append(finished, []any{e.n, e.task, e.run, e.how, ""})
	}
	data, _ := json.Marshal(map[string]any{
		"service": r.service, "address": r.address, "zone": r.zone, "version": "v1", "slots": 8, "state": "ready", "coldRemainingMs": 0,
		"capacity": map[string]int{"cpu": r.cpu, "memoryLimitMb": 32768, "gpu": 0}, "labels": r.labels,
		"clockMs": time.Since(r.world.record.began).Milliseconds(), "sequence": r.sequence, "active": active, "finished": finished,
	})
	return string(data)
}

// take carries out the orders in an answer to the heartbeat that was sent at that time.
func (r *runner) take(body string, sent time.Time) (pause time.Duration) {
	var orders struct {
		HoldMs       int64   `json:"holdMs"`
		LastSeen     uint64  `json:"lastSeen"`
		FenceToken   uint64  `json:"fenceToken"`
		RetryDelayMs int64   `json:"retryDelayMs"`
		Start        [][]any `json:"start"`
		Stop         [][]any `json:"stop"`
	}
	pause = 1500 * time.Millisecond
	if json.Unmarshal([]byte(body), &orders) != nil {
		return pause
	}
	if orders.RetryDelayMs > 0 {
		pause = time.Duration(orders.RetryDelayMs) * time.Millisecond
	}
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if orders.FenceToken < r.fence {
		r.world.record.log("%s: an answer with fence %d, below %d, is dropped", r.id, orders.FenceToken, r.fence)
		return pause
	}
	r.fence = orders.FenceToken
	for len(r.finished) > 0 && r.finished[0].n <= orders.LastSeen {
		r.finished = r.finished[1:]
	}
	if orders.HoldMs > 0 {
		until := sent.Add(min(time.Duration(orders.HoldMs)*time.Millisecond, holdMax))
		if until.After(r.holdUntil) {
			r.holdUntil = until
		}
	}
	for _, row := range orders.Stop {
		task, number := row[0].(string), uint64(row[1].(float64))
		r.floor[task] = max(r.floor[task], number)
		if each := r.active[task]; each != nil && each.number <= number && !each.stopping {
			each.stopping = true
			r.world.record.log("%s: told to stop %s run %d", r.id, task, number)
			time.AfterFunc(stopTime, func() {
				r.mutex.Lock()
				defer r.mutex.Unlock()
				if r.active[task] == each {
					r.finish(each, "stopped")
				}
			})
		}
	}
	if orders.HoldMs <= 0 {
		return pause
	}
	for _, row := range orders.Start {
		task, number, spec := row[0].(string), uint64(row[1].(float64)), row[2].(string)
		if r.active[task] != nil || number <= r.floor[task] {
			continue
		}
		r.active[task] = &run{task: task, number: number, began: time.Now(), work: r.workOf(spec)}
		r.world.record.log("%s: START %s run %d spec %q", r.id, task, number, spec)
		r.world.mutex.Lock()
		r.world.starts = append(r.world.starts, start{r.world.record.at(), r.id, task, number})
		r.world.mutex.Unlock()
	}
	return pause
}

// live sends heartbeats until the runner is closed. Its processes don't stop while a heartbeat is out.
func (r *runner) live() {
	go func() {
		for {
			select {
			case <-r.closed:
				return
			case <-time.After(5 * time.Millisecond):
				r.work()
			}
		}
	}()
	for {
		select {
		case <-r.closed:
			return
		default:
		}
		sent := time.Now()
		got := call("POST", r.agent, "/v1/instances/"+r.id+"/heartbeat", "", nil, r.beat(), time.Second)
		pause := 100 * time.Millisecond
		if got.status != 200 && got.err == nil && got.status != r.refused {
			r.world.record.log("%s: a heartbeat is answered %s", r.id, got)
		}
		r.refused = got.status
		if got.status == 200 && time.Since(sent) <= time.Second {
			pause = r.take(got.body, sent)
		}
		select {
		case <-r.closed:
			return
		case <-time.After(pause):
		case <-r.wake:
			time.Sleep(50 * time.Millisecond)
		}
	}
}

func (r *runner) close() { close(r.closed) }

// crash ends the runner and all that runs on it at once.
func (r *runner) crash() {
	r.world.record.log("%s: crashes", r.id)
	r.close()
}

func jobID(n int) string { return fmt.Sprintf("%016x", uint64(n)*0x9e3779b97f4a7c15) }

// runs reports whether the run is there now.
func (r *runner) runs(task string, number uint64) bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	each := r.active[task]
	return each != nil && each.number == number
}
